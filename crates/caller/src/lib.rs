//! What callers see: HTTP routes, problem documents, streams.
