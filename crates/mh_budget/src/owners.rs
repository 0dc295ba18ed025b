use mh_types::{DomainName, VmName};

/// A VM that owns slots of a budget, according to the table rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// VMs that own slots of a budget, which a holder may ask for loans.
///
/// The list only determines which VMs are asked. A wrong or outdated list costs messages, but never lets a VM admit
/// more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners(Box<[Owner]>);

impl Owners {
    /// Number of owners.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no owner is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first owner, which decides if the budget is undivided.
    pub fn first(&self) -> Option<&Owner> {
        self.0.first()
    }

    /// Index of the next owner at or after `cursor`, with wrap-around, that `accepts` selects; owners in `domain` come
    /// first.
    pub(crate) fn next_preferring_domain(
        &self,
        cursor: usize,
        domain: &DomainName,
        accepts: impl Fn(&VmName) -> bool,
    ) -> Option<usize> {
        let order = || (0..self.len()).map(|i| (cursor + i) % self.len());
        let near = order().find(|i| self.0[*i].domain == *domain && accepts(&self.0[*i].vm));
        near.or_else(|| order().find(|i| accepts(&self.0[*i].vm)))
    }

    /// Index of the next owner at or after `cursor`, with wrap-around, that `accepts` selects.
    pub(crate) fn next_after(&self, cursor: usize, accepts: impl Fn(&VmName) -> bool) -> Option<usize> {
        (0..self.len())
            .map(|i| (cursor + i) % self.len())
            .find(|i| accepts(&self.0[*i].vm))
    }

    pub(crate) fn vm(&self, index: usize) -> Option<&VmName> {
        self.0.get(index).map(|owner| &owner.vm)
    }
}

impl FromIterator<Owner> for Owners {
    fn from_iter<I: IntoIterator<Item = Owner>>(iter: I) -> Self {
        Self(iter.into_iter().collect())
    }
}
