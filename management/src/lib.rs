//! Management fronts.

pub mod proto {
    #![allow(missing_docs, clippy::all)]
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}
