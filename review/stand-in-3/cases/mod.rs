//! The cases.

mod flapping;
mod last_tenant;
mod many_keys;
mod old_version;
mod stops;

use std::fs;
use std::io;
use std::path::PathBuf;

use crate::fleet::Record;
use crate::Verdict;

pub struct Context {
    pub root: PathBuf,
    folder: PathBuf,
    /// Temporary folder.
    pub dir: PathBuf,
    pub with_trouble: bool,
    pub record: Record,
}

impl Context {
    pub fn new(root: PathBuf, folder: PathBuf, with_trouble: bool) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self {
            root,
            folder,
            dir,
            with_trouble,
            record: Record::new(),
        })
    }

    pub fn close(&self) -> io::Result<()> {
        self.record.write(&self.folder.join("record.txt"))?;
        match std::env::var_os("KEEP") {
            Some(_) => eprintln!("{}", self.dir.display()),
            None => fs::remove_dir_all(&self.dir)?,
        }
        Ok(())
    }
}

pub fn run(case: &str, cx: &Context) -> io::Result<Verdict> {
    match case {
        "flapping" => flapping::run(cx),
        "last-tenant" => last_tenant::run(cx),
        "many-keys" => many_keys::run(cx),
        "old-version" => old_version::run(cx),
        "stops" => stops::run(cx),
        _ => Err(io::Error::other("no such case")),
    }
}
