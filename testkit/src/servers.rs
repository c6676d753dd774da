//! Parties by closures: what one does with a connection, a host with a command, discovery with a question.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;

/// A party that serves every connection in a thread of its own.
pub fn spawn_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
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

/// An address at which nobody listens, nor will: all fakes keep to another one of the loopback range.
pub fn unused_address() -> SocketAddr {
    let port = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port");
    ([127, 77, 0, 1], port.port()).into()
}

/// The next command or array on a connection, None at its end.
pub fn read_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    from.read_line(&mut line)
        .ok()
        .filter(|length| *length > 0)?;
    let count: usize = line.trim_end().strip_prefix('*')?.parse().ok()?;
    let word = |_| {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length: usize = line.trim_end().strip_prefix('$')?.parse().ok()?;
        let mut bytes = vec![0; length + 2];
        from.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        String::from_utf8(bytes).ok()
    };
    (0..count).map(word).collect()
}

/// A tiny fake host on a socket: `None` as an answer closes the connection, an empty one keeps silent.
pub fn fake_host(
    answer: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> SocketAddr {
    spawn_server(move |stream| serve_commands(stream, &answer))
}

/// Answers the commands of one connection, one after another.
pub fn serve_commands(stream: TcpStream, answer: impl Fn(&[String]) -> Option<String>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(words) = read_command(&mut reader) {
        match answer(&words) {
            Some(text) => drop((&stream).write_all(text.as_bytes())),
            None => return,
        }
    }
}

/// A host's answer with a value.
pub fn value_reply(text: &str) -> Option<String> {
    Some(format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()))
}

/// Discovery: each question takes the next of these answers, as long as there are any.
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
