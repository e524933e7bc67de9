//! A file that is replaced as a whole.

use std::path::PathBuf;
use std::{fs, io};

use kumquatdrum_disk::Blob;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

#[test]
fn nothing_is_read_where_nothing_was_written() {
    let folder = folder("blob-none");
    assert_eq!(Blob::new(&folder, "known").read().unwrap(), None);
}

#[test]
fn the_newest_bytes_are_read_whatever_an_unfinished_replacement_left() {
    let folder = folder("blob-newest");
    let blob = Blob::new(&folder, "known");
    blob.replace(b"one").unwrap();
    blob.replace(b"").unwrap();
    assert_eq!(blob.read().unwrap().as_deref(), Some(b"".as_slice()));
    blob.replace(b"three").unwrap();
    fs::write(folder.join("known.next"), b"fo").unwrap();
    assert_eq!(blob.read().unwrap().as_deref(), Some(b"three".as_slice()));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn every_damaged_byte_and_every_cut_is_told() {
    let folder = folder("blob-damaged");
    let blob = Blob::new(&folder, "known");
    blob.replace(b"engines").unwrap();
    let path = folder.join("known");
    let whole = fs::read(&path).unwrap();
    for place in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[place] ^= 0x20;
        for bytes in [&damaged[..], &whole[..place]] {
            fs::write(&path, bytes).unwrap();
            let error = blob.read().unwrap_err();
            assert_eq!(error.kind(), io::ErrorKind::InvalidData, "at {place}");
        }
    }
    fs::remove_dir_all(folder).unwrap();
}
