//! Test servers whose replies to a connection, a command or a discovery request are given by closures.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;

/// Starts a server that handles every connection in a thread of its own; returns its address.
pub fn spawn_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    spawn_server_on(
        TcpListener::bind("127.0.0.1:0").expect("a free port"),
        serve,
    )
}

/// Starts a server on a listener as [`spawn_server`] does.
pub fn spawn_server_on(
    listener: TcpListener,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let at = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    at
}

/// Returns an address at which nothing listens, now or later: all test servers listen at 127.0.0.1, and this is
/// 127.77.0.1.
pub fn unused_address() -> SocketAddr {
    let port = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port");
    ([127, 77, 0, 1], port.port()).into()
}

/// Reads the next command, an array of bulk strings; `None` at the end of the connection.
pub fn read_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    from.read_line(&mut line)
        .ok()
        .filter(|length| *length > 0)?;
    let count: usize = line.trim_end().strip_prefix('*')?.parse().ok()?;
    let argument = |_| {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length: usize = line.trim_end().strip_prefix('$')?.parse().ok()?;
        let mut bytes = vec![0; length + 2];
        from.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        String::from_utf8(bytes).ok()
    };
    (0..count).map(argument).collect()
}

/// Reads the next request; `None` at the end of the connection. Commands that are no requests get their reply on
/// `replies`.
pub fn read_request(from: &mut impl BufRead, replies: &mut impl Write) -> Option<Vec<String>> {
    loop {
        let command = read_command(from)?;
        let Some(reply) = effectless_reply(&command[0]) else {
            return Some(command);
        };
        replies.write_all(reply).ok()?;
    }
}

/// The reply of hosts to the command with this name, where the command has no effect; `None` for requests.
pub fn effectless_reply(command: &str) -> Option<&'static [u8]> {
    match command.to_ascii_uppercase().as_str() {
        "CLIENT" | "SELECT" => Some(b"+OK\r\n"),
        "PING" => Some(b"+PONG\r\n"),
        _ => None,
    }
}

/// Starts a host that sends the reply that `answer` returns for a request; `None` closes the connection, and an empty
/// text sends nothing.
pub fn fake_host(
    answer: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> SocketAddr {
    spawn_server(move |stream| serve_commands(stream, &answer))
}

/// Replies to the requests of one connection, one after another, with the replies of `answer` as in [`fake_host`].
pub fn serve_commands(stream: TcpStream, answer: impl Fn(&[String]) -> Option<String>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(request) = read_request(&mut reader, &mut &stream) {
        match answer(&request) {
            Some(text) => drop((&stream).write_all(text.as_bytes())),
            None => return,
        }
    }
}

/// Formats a host's reply with this value, without a load report and without a third part.
pub fn value_reply(text: &str) -> Option<String> {
    Some(format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()))
}

/// Starts a discovery server that replies to each request with the next body from the channel, and closes connections
/// once the channel is closed.
pub fn fake_discovery(answers: Receiver<String>) -> SocketAddr {
    let answers = Mutex::new(answers);
    spawn_server(move |stream| {
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        while lines
            .by_ref()
            .map_while(Result::ok)
            .any(|line| line.is_empty())
        {
            let Ok(body) = answers.lock().expect("no panic before").recv() else {
                return;
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = (&stream).write_all((head + &body).as_bytes());
        }
    })
}
