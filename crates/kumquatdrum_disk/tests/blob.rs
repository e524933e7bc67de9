//! Reading and replacing of blobs, also after damage and interrupted writes.

use std::path::PathBuf;
use std::{fs, io};

use kumquatdrum_disk::Blob;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

#[test]
fn a_missing_file_reads_as_none() {
    let folder = folder("blob-none");
    assert_eq!(Blob::new(&folder, "known").read().unwrap(), None);
}

#[test]
fn an_interrupted_replacement_leaves_the_previous_contents() {
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
fn damaged_and_truncated_files_are_rejected() {
    let folder = folder("blob-damaged");
    let blob = Blob::new(&folder, "known");
    blob.replace(b"engines").unwrap();
    let path = folder.join("known");
    let intact = fs::read(&path).unwrap();
    for position in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[position] ^= 0x20;
        for bytes in [&damaged[..], &intact[..position]] {
            fs::write(&path, bytes).unwrap();
            let error = blob.read().unwrap_err();
            assert_eq!(error.kind(), io::ErrorKind::InvalidData, "at {position}");
        }
    }
    fs::remove_dir_all(folder).unwrap();
}
