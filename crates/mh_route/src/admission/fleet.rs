/// Number of VMs that admit requests to a service, and of the service's servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fleet {
    pub(super) vms: u32,
    pub(super) servers: u32,
}
