//! A small deployment: the store, and daemons as processes with the commands of the deploy file.

use crate::http::{read_body, send};
use crate::store::Store;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// What was sent, answered and run, with the time in milliseconds since the start.
pub struct Record {
    started_at: Instant,
    lines: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { started_at: Instant::now(), lines: Mutex::new(File::create(path)?) })
    }

    pub fn note(&self, text: &str) {
        let at = self.started_at.elapsed().as_millis();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:>6} {text}");
    }
}

/// A daemon's process; it ends with this value.
pub struct Daemon {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Site {
    pub store: Store,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Addresses with ports that are free. The loopback address is that of this process alone, so that no other
/// connection takes a port before the daemon does.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::from([127, 1 + high % 250, low, 1]);
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| TcpListener::bind((ip, 0))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

/// Fills in the template of the deploy file; it has plain placeholders only.
fn rendered(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Site {
    /// Starts `count` daemons from the repository's root.
    pub fn start(count: usize) -> io::Result<Self> {
        let (store, store_address) = Store::start()?;
        let template = fs::read_to_string("deploy/edge.ini.template")?;
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|line| line.split('"').next()).ok_or(io::ErrorKind::InvalidData)?;
        let folder =
            std::env::temp_dir().join(format!("magnoliawinch-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut site = Self { store, daemons: Vec::new(), folder };
        let addresses = free_addresses(5 * count)?;
        let zones = ["catania-a", "palermo-b", "siracusa-c"];
        let seeds: Vec<_> = addresses.chunks(5).map(|of| of[3].to_string()).collect();
        for (n, of) in addresses.chunks(5).enumerate() {
            let zone = zones[n % zones.len()];
            let fields = [
                ("nodeName", format!("edge-{zone}-{}", n + 1)),
                ("zone", zone.to_owned()),
                ("listen.frontend", of[0].to_string()),
                ("listen.ready", of[1].to_string()),
                ("listen.directory", of[2].to_string()),
                ("listen.controlPlane", of[3].to_string()),
                ("ip", of[4].ip().to_string()),
                ("internalPorts.0", of[4].port().to_string()),
                ("seeds", seeds.join(",")),
                ("limits.cpuShare", "0.25".to_owned()),
                ("limits.cores", "1".to_owned()),
                ("limits.linkMbps", "1000.0".to_owned()),
                ("limits.memoryMb", "260".to_owned()),
                ("platform.address", store_address.to_string()),
                ("bounds.graceS", "8".to_owned()),
                ("bounds.ttl_max_s", "5".to_owned()),
                ("bounds.retryBudgetRatio", "0.2".to_owned()),
                ("bounds.retrySlack", "54".to_owned()),
                ("bounds.retryWindowS", "10".to_owned()),
            ];
            let settings = site.folder.join(format!("edge-{n}"));
            fs::write(&settings, rendered(&template, &fields))?;
            let log = File::create(site.folder.join(format!("edge-{n}.log")))?;
            let mut words = run.split(' ');
            let child = Command::new(words.next().unwrap_or_default())
                .args(words)
                .env("MAGNOLIAWINCH_BOOT", &settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            // For the script, should it be stopped itself.
            let mut pids = File::options()
                .create(true)
                .append(true)
                .open(std::env::temp_dir().join("pids"))?;
            writeln!(pids, "{}", child.id())?;
            site.daemons.push(Daemon { callers: of[0], ready: of[1], child });
        }
        Ok(site)
    }

    /// Waits until all daemons are ready; returns whether they are.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let second = Duration::from_secs(1);
        let is_ready = |daemon: &Daemon| {
            send(daemon.ready, "GET", "/readyz", &[("host", HOST)], b"", second)
                .is_ok_and(|(_, head)| head.status() == 200)
        };
        while Instant::now() < until {
            if self.daemons.iter().all(is_ready) {
                // The list of servers has been read and the daemons have found each other.
                sleep(Duration::from_secs(3));
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Keeps the daemons' logs in the folder that `KEEP_LOGS` names, for whoever looks into a run.
    pub fn keep_logs(&self) {
        let Some(folder) = std::env::var_os("KEEP_LOGS").map(PathBuf::from) else {
            return;
        };
        for n in 0..self.daemons.len() {
            let name = format!("edge-{n}.log");
            let _ = fs::copy(self.folder.join(&name), folder.join(&name));
        }
    }

    /// Writes a desired state whose only tenant is called `tenant`.
    pub fn publish(&self, version: u32, tenant: &str) {
        let text = format!(
            "{{\"version\":{version},\"routes\":[\
             {{\"name\":\"report\",\"host\":\"{HOST}\",\"pathPrefix\":\"/report/\",\"routeType\":\"streaming\",\"timeoutMs\":39000,\"targetLatencyMs\":1800,\"priority\":1,\"service\":\"perito\",\"maxAttempts\":1,\"anonymous\":false,\"sticky\":true,\"resumable\":false,\"targetGapMs\":180}},\
             {{\"name\":\"issue\",\"host\":\"{HOST}\",\"pathPrefix\":\"/issue/\",\"routeType\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"banco\",\"maxAttempts\":1,\"anonymous\":false}},\
             {{\"name\":\"dossier\",\"host\":\"{HOST}\",\"pathPrefix\":\"/dossier/\",\"routeType\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"banco\",\"maxAttempts\":2,\"anonymous\":false}}],\
             \"services\":[\
             {{\"name\":\"perito\",\"healthPath\":\"/healthz\",\"maxConnections\":432,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":34624,\"kvBytes\":18432,\"linkMbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleTtlS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"banco\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"{tenant}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
        );
        self.store.put("keyed.op", "config", &text);
    }
}

/// What a client got: the status, whether the body was complete, and the body. Status 0 is none.
pub struct Answer {
    pub status: u16,
    pub is_whole: bool,
    pub body: String,
    pub has_seal: bool,
}

/// Sends one attempt of a client, as the sheets describe it.
pub fn attempt(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    usage: Option<&str>,
) -> Answer {
    let deadline = deadline_ms.to_string();
    let bearer = format!("Bearer {KEY}");
    let mut headers = vec![
        ("host", HOST),
        ("attempt-id", id),
        ("deadline-ms", deadline.as_str()),
        ("authorization", bearer.as_str()),
    ];
    let prefix = format!("5c1e07a2:79,{id}:2900");
    if let Some(usage) = usage {
        headers.extend([("model", "m"), ("token-usage", usage), ("prefix-hash", prefix.as_str())]);
    }
    let body = if method == "GET" { String::new() } else { format!("the body of {id}") };
    let timeout = Duration::from_millis(deadline_ms);
    match send(address, method, path, &headers, body.as_bytes(), timeout) {
        Ok((mut stream, head)) => {
            let (body, is_whole) = read_body(&mut stream, &head);
            let body = String::from_utf8_lossy(&body).into_owned();
            let has_seal = head.header("response-seal").is_some();
            Answer { status: head.status(), is_whole, body, has_seal }
        }
        Err(_) => Answer { status: 0, is_whole: false, body: String::new(), has_seal: false },
    }
}
