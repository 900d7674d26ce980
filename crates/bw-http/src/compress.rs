//! Compression of large bodies that processes of the project exchange.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;

/// Value of `accept-encoding` and `content-encoding` for compressed bodies.
pub const GZIP: &str = "gzip";
/// Largest size in bytes of a decompressed body; larger ones are refused.
const DECOMPRESSED_MAX: u64 = 64 << 20;

/// Compresses a body.
///
/// # Errors
/// Those of the encoder.
pub fn compress(body: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decompresses a body.
///
/// # Errors
/// An I/O error when the body is not in the gzip format or is too large.
pub fn decompress(body: &[u8]) -> std::io::Result<Bytes> {
    let mut plain = Vec::new();
    let mut limited = GzDecoder::new(body).take(DECOMPRESSED_MAX + 1);
    limited.read_to_end(&mut plain)?;
    if plain.len() as u64 > DECOMPRESSED_MAX {
        let text = format!("more than {DECOMPRESSED_MAX} bytes after decompression");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, text));
    }
    Ok(Bytes::from(plain))
}
