//! Name of a data centre.

use crate::macros::name_type;

name_type!(
    /// Name of a data centre.
    DataCentreName
);
