"""Networks of runs that are side by side."""

from tools.site_rig.network import claim_network


class TestClaim:
    """Claims of a network."""

    # Guards against two runs whose nodes meet at an address.
    def test_two_runs(self):
        first, claim = claim_network()
        second, other_claim = claim_network()
        claim.close()
        other_claim.close()

        assert first != second

    # Guards against networks that are never free again.
    def test_free_again(self):
        first, claim = claim_network()
        claim.close()
        again, other_claim = claim_network()
        other_claim.close()

        assert again == first
