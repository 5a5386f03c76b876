//! A store in trouble: relays calls to another store, or answers them without end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::endless;
use crate::scripted_upstream::{EndlessPart, Pace};

/// Objects on a page of a list.
const PAGE_OBJECTS: usize = 500;

/// What has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessAnswer {
    /// A part of each response.
    Part(EndlessPart),
    /// The pages of each list, which name ever other objects.
    Pages,
    /// The same page, after which each list goes on.
    SamePage,
}

/// A store that may be in trouble.
#[derive(Debug)]
pub struct EndlessStore {
    addr: SocketAddr,
    answer: watch::Sender<Option<EndlessAnswer>>,
    calls: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for EndlessStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessStore {
    /// Starts a relay to `store` on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no port can be bound.
    pub async fn start(store: SocketAddr) -> io::Result<EndlessStore> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let answer = watch::Sender::new(None);
        let calls = Arc::<AtomicUsize>::default();
        let (current, counted) = (answer.subscribe(), calls.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let answer = *current.borrow();
                let counted = counted.clone();
                tokio::spawn(async move {
                    let _ended_by_either_side = serve(stream, store, answer, &counted).await;
                });
            }
        });
        Ok(EndlessStore {
            addr,
            answer,
            calls,
            task,
        })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets how calls on new connections are answered: without end, or by the other store.
    pub fn set_answer(&self, answer: Option<EndlessAnswer>) {
        self.answer.send_replace(answer);
    }

    /// Returns the number of responses without end that have ended, and of pages.
    pub fn ended_calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

async fn serve(
    mut stream: TcpStream,
    store: SocketAddr,
    answer: Option<EndlessAnswer>,
    ended: &AtomicUsize,
) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let is_list = text.starts_with("GET ") && !text.contains("watch=");
    match answer {
        Some(EndlessAnswer::Part(part)) => {
            let head = "HTTP/1.1 200 OK\r\n";
            let _closed_by_host = endless::send(&mut stream, head, part, Pace::Fast).await;
        }
        Some(EndlessAnswer::Pages) if is_list => stream.write_all(&next_page(&text)).await?,
        Some(EndlessAnswer::SamePage) if is_list => stream.write_all(&page(0)).await?,
        _ => {
            let mut to_store = TcpStream::connect(store).await?;
            to_store.write_all(&head).await?;
            tokio::io::copy_bidirectional(&mut stream, &mut to_store).await?;
            return Ok(());
        }
    }
    ended.fetch_add(1, Ordering::Relaxed);
    Ok(())
}

/// Returns the page after the name in a request.
fn next_page(request: &str) -> Vec<u8> {
    let name = request.split_once("after-revision=n").map(|(_, n)| n);
    let digits = name.map(|n| n.chars().take_while(char::is_ascii_digit));
    let last = digits.map(|d| d.collect::<String>().parse().unwrap_or(0));
    page(last.map_or(0, |n: usize| n + 1))
}

/// Returns a page of objects that are numbered from `first` on, with more to follow.
fn page(first: usize) -> Vec<u8> {
    let numbers = first..first + PAGE_OBJECTS;
    let items: Vec<String> = numbers
        .map(|n| {
            let metadata = format!(r#"{{"name":"n{n:012}","revision":1,"created":1}}"#);
            let filler = "x".repeat(1_024);
            format!(r#"{{"metadata":{metadata},"specification":{{"filler":"{filler}"}}}}"#)
        })
        .collect();
    let body = format!(
        r#"{{"items":[{}],"has-more":true,"at":1}}"#,
        items.join(",")
    );
    let head = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head, body].concat().into_bytes()
}
