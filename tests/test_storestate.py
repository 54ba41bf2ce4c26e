from redwingspring.decisions import DecisionLog
from redwingspring.errors import DocumentError
from redwingspring.instances import InstanceDirectory
from redwingspring.instancestate import Instance
from redwingspring.metrics import Metrics
from redwingspring.routes import CallerLimits, build_table
from redwingspring.storestate import (
    MISSING_GRACE_S,
    InstanceChange,
    InstanceRemoval,
    StoreChange,
    StoreError,
    StoreSnapshot,
    StoreState,
    TableChange,
)

from .base import RedwingspringTestCase


def decode(change):
    """Return the typed change that the value of a store change already is."""
    if change.value is None:
        return InstanceRemoval(change.key)
    return change.value


class StoreStateTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.metrics = Metrics()
        self.directory = InstanceDirectory(clock=self.clock)
        self.store_state = self.build_store_state()
        self.store_state.mark_connected("store")
        self.now += 60

    def build_store_state(self):
        """Return the state of a host that has just started."""
        decisions = DecisionLog(self.metrics, self.clock)
        return StoreState(self.directory, decode, self.metrics, decisions, self.clock)

    def clock(self):
        return self.now

    def list_instance(self, name, revision, **changes):
        instance = Instance(name, "desk", "10.0.0.9:80", "akl-a", 3, **changes)
        change = StoreChange(name, InstanceChange(instance), revision)
        self.store_state.apply_changes([change], revision)

    def remove(self, name, revision):
        self.store_state.apply_changes([StoreChange(name, None, revision)], revision)

    def apply_table(self, version, revision):
        table = build_table(version, [], [], CallerLimits())
        change = StoreChange("config", TableChange(table), revision)
        self.store_state.apply_changes([change], revision)

    @property
    def ids(self):
        return self.directory.list_ids()

    def test_an_older_configuration_does_not_replace_a_newer_one(self):
        self.apply_table(7, 1)
        self.apply_table(5, 2)
        self.assertEqual(7, self.store_state.version)

    def test_a_change_that_arrives_late_does_not_undo_a_newer_one(self):
        self.list_instance("a", 5, leaving=True)
        self.list_instance("a", 4)
        self.assertEqual({}, self.directory.view.services)
        self.remove("a", 6)
        self.list_instance("a", 5)
        self.assertEqual(set(), self.ids)

    def test_an_instance_is_removed_at_once_while_the_store_is_connected(self):
        self.list_instance("a", 1)
        self.remove("a", 2)
        self.assertEqual(set(), self.ids)

    def test_an_instance_missing_from_a_snapshot_is_removed(self):
        self.list_instance("a", 1)
        self.store_state.apply_snapshot(StoreSnapshot((), 9))
        self.assertEqual(set(), self.ids)

    def test_an_entry_newer_than_the_snapshot_is_kept(self):
        self.list_instance("a", 12)
        self.store_state.apply_snapshot(StoreSnapshot((), 9))
        self.assertEqual({"a"}, self.ids)

    def test_entries_that_expired_during_a_store_outage_are_kept_for_a_while(self):
        self.list_instance("a", 1)
        self.list_instance("b", 2)
        self.store_state.mark_lost(StoreError("down"))
        self.now += 5
        self.store_state.apply_snapshot(StoreSnapshot((), 9))
        self.store_state.mark_connected("store")
        self.store_state.drop_missing()
        self.assertEqual({"a", "b"}, self.ids)
        self.list_instance("a", 10)
        self.now += MISSING_GRACE_S + 0.1
        self.store_state.drop_missing()
        self.assertEqual({"a"}, self.ids)

    def test_a_removal_after_a_start_is_no_entry_that_expired(self):
        """A host that has just started has not seen the store away."""
        self.store_state = self.build_store_state()
        self.now += 0.3
        self.list_instance("a", 1)
        self.store_state.mark_connected("store")
        self.now += 1.5
        self.remove("a", 2)
        self.assertEqual(set(), self.ids)

    def test_a_start_while_the_store_is_away_keeps_entries_that_expire(self):
        self.store_state = self.build_store_state()
        self.store_state.mark_lost(StoreError("down"))
        self.now += 5
        self.list_instance("a", 1)
        self.store_state.mark_connected("store")
        self.remove("a", 2)
        self.assertEqual({"a"}, self.ids)

    def test_a_removal_after_an_outage_waits_no_longer_than_entries_take(self):
        """The time counts from the return of the store, not from the removal."""
        self.list_instance("a", 1)
        self.store_state.mark_lost(StoreError("down"))
        self.now += 5
        self.store_state.mark_connected("store")
        self.now += MISSING_GRACE_S - 0.5
        self.remove("a", 2)
        self.assertEqual({"a"}, self.ids)
        self.now += 0.6
        self.store_state.drop_missing()
        self.assertEqual(set(), self.ids)

    def test_a_restart_under_the_same_id_starts_with_a_new_state(self):
        self.list_instance("a", 1, started_unix_ms=1000)
        [state] = self.directory.view.services["desk"]
        state.record_failure(self.now)
        self.list_instance("a", 2, started_unix_ms=2000)
        [again] = self.directory.view.services["desk"]
        self.assertIsNot(state, again)
        self.assertFalse(self.directory.accepts(state))

    def test_an_invalid_entry_is_ignored_and_counted(self):
        self.list_instance("a", 1)

        def refuse(change):
            raise DocumentError([f"{change.key}: unreadable"])

        self.store_state._decode = refuse
        self.list_instance("b", 2)
        self.assertEqual({"a"}, self.ids)
        self.assertEqual(1, self.metrics.snapshot()["store.invalid_entries"])
