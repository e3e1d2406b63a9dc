"""
Leadership rows
===============

The rows of the platform's store that name the primary of each group: applies them as
they are read, and writes those again that lack the last known state of a replacement.
A row lacks it if the daemon that carried out the replacement stopped first, or if the
store was restored from an older copy.
"""

from cardamomdrift.errors import ControlRecordError
from cardamomdrift.failover.records import (
    LEADERSHIP_PREFIX,
    TABLE,
    LeadershipRecord,
    decode_record,
    encode_record,
    leadership_key,
)
from cardamomdrift.ports import Committed


class LeadershipRows:
    """Rows of the primaries of all groups.

    Parameters
    ----------
    store : MetadataStore
    roster : Roster
    clusters : Clusters
    log : structlog logger

    Attributes
    ----------
    outdated : dict of str to int
        Versions of rows that lack the last known state of a replacement, by group; 0
        for a row that is missing.
    """

    def __init__(self, store, roster, clusters, log):
        self._store = store
        self._roster = roster
        self._clusters = clusters
        self._log = log
        self.outdated = {}

    def apply(self, rows):
        """Apply the rows of a read of the store.

        Parameters
        ----------
        rows : dict of str to Row
            All rows of the daemons' table, by key.
        """
        for key, row in rows.items():
            if key.startswith(LEADERSHIP_PREFIX):
                self._apply_row(key.removeprefix(LEADERSHIP_PREFIX), row)
        for cluster in self._clusters:
            group = cluster.group.name
            if cluster.leadership.generation and leadership_key(group) not in rows:
                self._note_lost_row(group, 0)

    def _apply_row(self, group, row):
        cluster = self._clusters.get(group)
        if cluster is None:
            return
        try:
            record = decode_record(row, LeadershipRecord)
        except ControlRecordError as error:
            self._log.error("row not usable", error=str(error))
            return
        leadership = cluster.leadership
        if cluster.adopt(
            record.generation, record.settled, record.term, record.primary, "store"
        ):
            return
        if (
            leadership.settled
            and leadership.generation == record.generation
            and not record.settled
        ):
            # The daemon that settled it stopped before it wrote the row.
            self.outdated.setdefault(group, row.version)
        elif record.generation < leadership.generation:
            self._note_lost_row(group, row.version)

    def _note_lost_row(self, group, version):
        """Note a row that the store lost; only voters write it again."""
        if self._roster.is_voter:
            self.outdated.setdefault(group, version)

    async def write_outdated(self, rows):
        """Write one of the outdated rows, unless it has changed since.

        Parameters
        ----------
        rows : dict of str to Row
            All rows of the daemons' table as of the last read, by key.

        Raises
        ------
        PlatformUnavailable or PlatformRefused
        """
        group, version = next(iter(self.outdated.items()))
        del self.outdated[group]
        cluster = self._clusters.get(group)
        if cluster is None:
            return
        key = leadership_key(group)
        row = rows.get(key)
        if version != (0 if row is None else row.version):
            return
        leadership = cluster.leadership
        generation, token = 0, 0
        if row is not None:
            record = decode_record(row, LeadershipRecord)
            generation, token = record.generation, record.token
            stored = (record.generation, record.settled)
            if stored >= (leadership.generation, leadership.settled):
                return
        known = LeadershipRecord(
            leadership.generation,
            leadership.settled,
            leadership.term,
            leadership.primary,
            token if generation == leadership.generation else 0,
            "",
        )
        result = await self._store.commit(
            TABLE, {key: version}, {key: encode_record(known)}
        )
        self._log.info(
            "replacement written",
            group=group,
            generation=leadership.generation,
            taken=isinstance(result, Committed),
        )
