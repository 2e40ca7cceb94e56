//! Priority class of a request.

use crate::macros::name_type;

name_type!(
    /// Name of a priority class that operators define, such as `interactive` or `batch`.
    RequestClass
);
