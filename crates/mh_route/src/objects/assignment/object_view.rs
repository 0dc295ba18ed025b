use mh_types::ServerName;
use serde::Serialize;

/// Servers of one recently requested object, for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ObjectView {
    /// Hash of the object, as sixteen hexadecimal digits.
    pub object: String,
    /// Servers in the order of preference.
    pub servers: Vec<ObjectChoiceView>,
}

/// One server of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ObjectChoiceView {
    /// Name of the server.
    pub server: ServerName,
    /// Reason: `first` (first choice by the shares of the regions) or `next` (next in the object's order), and what
    /// keeps or slows requests to it at present: `closed`, `cold` or `full`.
    pub why: &'static str,
}
