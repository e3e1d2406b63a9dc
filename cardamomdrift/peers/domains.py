"""
Failure domains of daemons
==========================

Which daemon is in which failure domain, as far as this one knows.  Daemons of an older
version do not tell theirs and count as being in none.
"""

from cardamomdrift.util import DIGEST_MASK, hash_number


class MemberDomains:
    """Failure domains of the daemons that a roster counts.

    Parameters
    ----------
    vm : str
    own : str
        Failure domain of this VM; empty if it has none.

    Attributes
    ----------
    version : int
        Rises with each change.
    """

    def __init__(self, vm, own=""):
        self._vm = vm
        self._own = own
        self._domains = {vm: own} if own else {}
        self._digest = None
        self.version = 0

    @property
    def own(self):
        """Failure domain of this VM."""
        return self._own

    @property
    def known(self):
        """Failure domain by daemon, without those whose domain is not known."""
        return self._domains

    @property
    def digest(self):
        """32-bit hash of the known failure domains."""
        if self._digest is None:
            parts = (
                f"{name}={domain}" for name, domain in sorted(self._domains.items())
            )
            self._digest = hash_number(*parts) & DIGEST_MASK
        return self._digest

    def record(self, name, domain):
        """Record the failure domain of a daemon, if it has told one."""
        if domain and self._domains.get(name) != domain:
            self._change(self._domains | {name: domain})

    def record_aligned(self, members, domains):
        """Take over the failure domains that another daemon's heartbeat lists."""
        if len(members) != len(domains):
            return
        for name, domain in zip(sorted(members), domains, strict=True):
            self.record(name, domain)
            if not domain and name != self._vm:
                self.forget(name)

    def heartbeat_fields(self, members):
        """Return what a heartbeat says about failure domains.

        Parameters
        ----------
        members : sequence of str or None
            Daemons that it lists, if it does.
        """
        aligned = None
        if members is not None:
            aligned = tuple(self._domains.get(name, "") for name in sorted(members))
        return {
            "failure_domain": self._own,
            "domains_digest": self.digest,
            "domains": aligned,
        }

    def is_same(self, digest):
        """Whether a daemon with this ``domains_digest`` needs no failure domains."""
        return digest is None or digest == self.digest

    def forget(self, name):
        """Forget a daemon that is counted no more."""
        if name in self._domains:
            rest = self._domains.items()
            self._change({other: domain for other, domain in rest if other != name})

    def _change(self, domains):
        self._domains = domains
        self._digest = None
        self.version += 1
