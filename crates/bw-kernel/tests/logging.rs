//! The log queue under a reader that does not read.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

use bw_kernel::logging::LogQueue;
use bw_kernel::logging::WAITING_BYTES_MAX;

/// An output whose writes wait for permission and are then passed on.
struct Gate {
    permits: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let closed = |_| io::Error::other("closed");
        self.permits.recv().map_err(closed)?;
        self.written.send(bytes.to_vec()).map_err(|_| io::Error::other("closed"))?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_bound_are_dropped_and_counted_while_nobody_reads() {
    let (permit, permits) = mpsc::channel();
    let (written, output) = mpsc::channel();
    let mut queue = LogQueue::new();
    queue.start(Gate { permits, written }).unwrap();
    let line = vec![b'x'; 1_024];
    // Far more than the bound: each call returns although nothing is written.
    for _ in 0..4 * WAITING_BYTES_MAX / line.len() {
        queue.write_all(&line).unwrap();
    }
    let mut bytes = 0;
    let mut text = String::new();
    for _ in 0..64 {
        permit.send(()).unwrap();
        let piece = output.recv().unwrap();
        bytes += piece.len();
        text = String::from_utf8_lossy(&piece).into_owned();
        if text.contains("count=") {
            break;
        }
    }
    assert!(text.contains("count="), "no line tells of dropped lines");
    assert!(bytes <= 2 * WAITING_BYTES_MAX + 1_024, "{bytes} bytes were kept");
}

#[test]
fn a_flush_returns_once_all_lines_are_written() {
    let (permit, permits) = mpsc::channel();
    let (written, output) = mpsc::channel();
    let mut queue = LogQueue::new();
    queue.start(Gate { permits, written }).unwrap();
    permit.send(()).unwrap();
    queue.write_all(b"event=one\n").unwrap();
    LogQueue::flush(&queue);
    assert_eq!(output.try_recv().unwrap(), b"event=one\n");
}
