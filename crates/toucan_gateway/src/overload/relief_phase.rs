//! How far a gateway is in moving callers to others.

/// How far a gateway is in moving callers to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ReliefPhase {
    /// It keeps its callers.
    #[default]
    None,
    /// It asks to move callers.
    Asking,
    /// It closes callers' connections after answers and is not ready.
    Active,
}
