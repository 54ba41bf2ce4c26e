from redwingspring.decisions import DecisionLog
from redwingspring.drainnotices import DrainNotice
from redwingspring.errors import DocumentError
from redwingspring.instances import InstanceDirectory
from redwingspring.instancestate import Instance
from redwingspring.metrics import Metrics
from redwingspring.routes import CallerLimits, build_table
from redwingspring.storestate import (
    MISSING_GRACE_S,
    EvacuationChange,
    InstanceChange,
    InstanceRemoval,
    StoreChange,
    StoreError,
    StorePosition,
    StoreSnapshot,
    StoreState,
    TableChange,
)

from .base import RedwingspringTestCase


def decode(change):
    """Return the typed change that the value of a store change already is."""
    if change.value is not None:
        return change.value
    if change.key.startswith("zone-"):
        return EvacuationChange(change.key, False)
    return InstanceRemoval(change.key)


class StoreStateTestCase(RedwingspringTestCase):
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
        self.store_state.apply_changes([change], StorePosition(0, revision))

    def remove(self, name, revision):
        self.store_state.apply_changes(
            [StoreChange(name, None, revision)], StorePosition(0, revision)
        )

    def apply_table(self, version, revision):
        table = build_table(version, [], [], CallerLimits())
        change = StoreChange("config", TableChange(table), revision)
        self.store_state.apply_changes([change], StorePosition(0, revision))

    @property
    def ids(self):
        return self.directory.list_ids()


class StoreStateTest(StoreStateTestCase):
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
        self.store_state.apply_snapshot(StoreSnapshot((), StorePosition(0, 9)))
        self.assertEqual(set(), self.ids)

    def test_an_entry_newer_than_the_snapshot_is_kept(self):
        self.list_instance("a", 12)
        self.store_state.apply_snapshot(StoreSnapshot((), StorePosition(0, 9)))
        self.assertEqual({"a"}, self.ids)

    def test_entries_that_expired_during_a_store_outage_are_kept_for_a_while(self):
        self.list_instance("a", 1)
        self.list_instance("b", 2)
        self.store_state.mark_lost(StoreError("down"))
        self.now += 5
        self.store_state.apply_snapshot(StoreSnapshot((), StorePosition(0, 9)))
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


class EpochTest(StoreStateTestCase):
    """The store came back from an older copy and assigns its revisions again."""

    def setUp(self):
        super().setUp()
        self.evacuate("zone-a", 1, 140)
        self.list_entries(1, 180, a=150, b=160)

    def build(self, name, **changes):
        return Instance(name, "desk", "10.0.0.9:80", "akl-a", 3, **changes)

    def read(self, epoch, revision, *changes):
        """Apply a snapshot of the store."""
        position = StorePosition(epoch, revision)
        self.store_state.apply_snapshot(StoreSnapshot(changes, position))

    def watch(self, epoch, *changes):
        """Apply changes that the store sent after a snapshot."""
        position = StorePosition(epoch, changes[-1].revision)
        self.store_state.apply_changes(changes, position)

    def write(self, name, revision, **changes):
        return StoreChange(name, InstanceChange(self.build(name, **changes)), revision)

    def write_table(self, version, revision):
        table = build_table(version, [], [], CallerLimits())
        return StoreChange("config", TableChange(table), revision)

    def list_entries(self, epoch, revision, **revisions):
        """Apply a snapshot of ready instances and of the evacuated data centre."""
        changes = [self.write(name, number) for name, number in revisions.items()]
        self.read(epoch, revision, *changes, self.evacuation)

    def evacuate(self, name, epoch, revision):
        self.evacuation = StoreChange(name, EvacuationChange(name, True), revision)
        self.read(epoch, revision, self.evacuation)

    @property
    def used(self):
        """The ids of the instances that take requests."""
        states = self.directory.view.services.get("desk", ())
        return {state.instance.id for state in states}

    def drain(self, name, epoch, revision):
        self.watch(epoch, self.write(name, revision, leaving=True))

    def test_positions_are_ordered_by_epoch_first(self):
        self.assertTrue(StorePosition(1, 180) < StorePosition(2, 23))
        self.assertTrue(StorePosition(2, 23) < StorePosition(2, 24))
        self.assertTrue(StorePosition() < StorePosition(1, 0))

    def test_a_change_with_a_revision_below_those_of_the_old_epoch_takes_effect(self):
        """A drain and a configuration after a rollback had no effect for seconds."""
        self.watch(1, self.write_table(3, 181))
        self.list_entries(2, 23, a=15, b=16)
        self.drain("a", 2, 24)
        self.watch(2, self.write_table(4, 25))
        self.assertEqual(({"b"}, 4), (self.used, self.store_state.version))
        self.assertEqual(StorePosition(2, 25), self.store_state.position)

    def test_a_removal_of_the_old_epoch_does_not_hide_an_entry_of_the_new_one(self):
        self.watch(1, StoreChange("a", None, 181))
        self.assertEqual({"b"}, self.ids)
        self.list_entries(2, 23, a=15, b=16)
        self.assertEqual({"a", "b"}, self.used)

    def test_changes_of_the_old_epoch_do_not_replace_those_of_the_new_one(self):
        """Its revisions are higher, and a response may arrive late."""
        self.list_entries(2, 23, a=15)
        self.watch(1, self.write("c", 500))
        self.list_entries(1, 600, d=550)
        self.assertEqual({"a", "b"}, self.ids)
        self.assertEqual(StorePosition(2, 23), self.store_state.position)

    def test_changes_of_a_new_epoch_wait_for_its_snapshot(self):
        for revision in (24, 500):
            self.watch(2, StoreChange("a", None, revision))
        self.assertEqual({"a", "b"}, self.used)
        self.assertEqual(StorePosition(1, 180), self.store_state.position)

    def test_the_configuration_in_force_is_never_replaced_by_an_older_one(self):
        self.watch(1, self.write_table(7, 181))
        self.read(2, 23, self.write_table(6, 22))
        self.assertEqual(7, self.store_state.version)
        self.watch(2, self.write_table(8, 24))
        self.assertEqual(8, self.store_state.version)

    def test_missing_entries_stay_until_their_writers_have_had_time(self):
        self.now += 3
        self.read(2, 23, self.write("b", 20))
        self.assertEqual({"a", "b"}, self.used)
        self.assertEqual({"zone-a"}, self.directory.view.evacuated)
        self.now += MISSING_GRACE_S - 0.1
        self.store_state.drop_missing()
        self.assertEqual({"a", "b"}, self.used)
        self.now += 0.2
        self.store_state.drop_missing()
        self.assertEqual({"b"}, self.ids)
        self.assertEqual(frozenset(), self.directory.view.evacuated)

    def test_entries_that_are_written_again_in_time_stay(self):
        self.read(2, 23)
        evacuation = StoreChange("zone-a", self.evacuation.value, 25)
        self.watch(2, self.write("a", 24), evacuation)
        self.now += MISSING_GRACE_S + 0.1
        self.store_state.drop_missing()
        self.assertEqual({"a"}, self.ids)
        self.assertEqual({"zone-a"}, self.directory.view.evacuated)

    def test_an_evacuation_that_the_operator_ends_ends_at_once(self):
        self.read(2, 23)
        self.watch(2, StoreChange("zone-a", None, 24))
        self.assertEqual(frozenset(), self.directory.view.evacuated)

    def test_the_wait_for_missing_entries_counts_from_the_last_rollback(self):
        self.read(2, 23)
        self.now += MISSING_GRACE_S - 0.1
        self.read(3, 22)
        self.now += MISSING_GRACE_S - 0.1
        self.store_state.drop_missing()
        self.assertEqual({"a", "b"}, self.used)
        self.assertEqual({"zone-a"}, self.directory.view.evacuated)
        self.now += 0.2
        self.store_state.drop_missing()
        self.assertEqual(
            (set(), frozenset()), (self.ids, self.directory.view.evacuated)
        )

    def test_the_state_that_a_host_starts_with_has_no_missing_entries(self):
        self.store_state = self.build_store_state()
        self.store_state.mark_connected("store")
        self.list_entries(2, 23, a=15)
        self.watch(2, StoreChange("a", None, 24))
        self.assertNotIn("a", self.ids)
        self.assertNotIn("store.epochs", self.metrics.snapshot())

    def test_a_target_that_drains_stays_so_until_it_writes_again(self):
        self.drain("a", 1, 181)
        for epoch in (2, 3):
            self.list_entries(epoch, 23, a=15, b=16)
            self.assertEqual({"b"}, self.used)
        self.watch(3, self.write("a", 24))
        self.assertEqual({"a", "b"}, self.used)

    def test_a_drain_of_each_epoch_is_known_after_the_next_rollback(self):
        self.list_entries(2, 23, a=15, b=16)
        self.drain("a", 2, 24)
        self.drain("b", 2, 25)
        self.read(3, 24, self.write("a", 24, leaving=True), self.write("b", 16))
        self.assertEqual(set(), self.used)
        self.list_entries(4, 23, a=15, b=16)
        self.assertEqual(set(), self.used)

    def test_a_target_that_had_drained_and_gone_is_not_used_again(self):
        self.drain("a", 1, 181)
        self.watch(1, StoreChange("a", None, 182))
        self.list_entries(2, 23, a=15, b=16)
        self.assertEqual({"b"}, self.used)

    def test_a_target_that_drains_by_its_responses_stays_so(self):
        notice = DrainNotice(self.build("a").run)
        self.directory._drain_notices.record([notice], "response")
        self.list_entries(2, 23, a=15, b=16)
        self.assertEqual({"b"}, self.used)

    def test_a_later_run_in_the_new_epoch_is_used(self):
        self.drain("a", 1, 181)
        self.read(2, 23, self.write("a", 22, started_unix_ms=2000))
        self.assertIn("a", self.used)

    def test_an_entry_that_was_written_after_the_drain_is_used(self):
        """Revisions of the new epoch passed the old ones before the first read."""
        self.drain("a", 1, 181)
        self.list_entries(2, 200, a=190, b=16)
        self.assertEqual({"a", "b"}, self.used)

    def test_an_unchanged_entry_does_not_make_a_warm_target_cold_again(self):
        self.read(2, 23, self.write("a", 20, cold_s=3.0))
        [state] = [s for s in self.directory.view.services["desk"] if s.instance.cold_s]
        state.cold_until = self.now
        self.read(3, 23, self.write("a", 20, cold_s=3.0))
        self.assertFalse(state.is_cold(self.now))

    def test_a_new_epoch_replaces_the_view_of_the_instances_in_one_step(self):
        before = self.directory.view
        views = []

        def decode_and_look(change):
            views.append(self.directory.view)
            return decode(change)

        self.store_state._decode = decode_and_look
        self.read(2, 23, self.write("c", 20), self.write("a", 21, leaving=True))
        self.assertEqual({id(before)}, {id(view) for view in views})
        self.assertEqual({"b", "c"}, self.used)

    def test_a_new_epoch_is_counted_and_logged_with_both_positions(self):
        with self.assertLogs("redwingspring.decisions") as logs:
            self.list_entries(2, 23, a=15, b=16)
            self.list_entries(2, 24, a=15, b=16)
        [line] = [r for r in logs.records if r.getMessage() == "store epoch changed"]
        self.assertEqual(
            {
                "epoch": 2,
                "revision": 23,
                "previous_epoch": 1,
                "previous_revision": 180,
            },
            line.fields,
        )
        self.assertEqual(1, self.metrics.snapshot()["store.epochs"])
