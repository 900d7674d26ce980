//! The log queue when its output blocks.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

use bw_kernel::logging::LogQueue;
use bw_kernel::logging::BUFFER_BYTES_MAX;

/// An output that blocks each write until it gets a permit, then forwards the bytes.
struct BlockingOutput {
    permits: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockingOutput {
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
fn lines_beyond_the_capacity_are_dropped_and_counted_while_the_output_blocks() {
    let (permit, permits) = mpsc::channel();
    let (written, output) = mpsc::channel();
    let mut queue = LogQueue::new();
    queue.start(BlockingOutput { permits, written }).unwrap();
    let line = vec![b'x'; 1_024];
    // Four times the capacity: each call returns although nothing is written.
    for _ in 0..4 * BUFFER_BYTES_MAX / line.len() {
        queue.write_all(&line).unwrap();
    }
    let mut bytes = 0;
    let mut text = String::new();
    for _ in 0..64 {
        permit.send(()).unwrap();
        let chunk = output.recv().unwrap();
        bytes += chunk.len();
        text = String::from_utf8_lossy(&chunk).into_owned();
        if text.contains("count=") {
            break;
        }
    }
    assert!(text.contains("count="), "no line reports the dropped lines");
    assert!(bytes <= 2 * BUFFER_BYTES_MAX + 1_024, "{bytes} bytes were kept");
}

#[test]
fn a_flush_returns_once_all_lines_are_written() {
    let (permit, permits) = mpsc::channel();
    let (written, output) = mpsc::channel();
    let mut queue = LogQueue::new();
    queue.start(BlockingOutput { permits, written }).unwrap();
    permit.send(()).unwrap();
    queue.write_all(b"event=one\n").unwrap();
    LogQueue::flush(&queue);
    assert_eq!(output.try_recv().unwrap(), b"event=one\n");
}
