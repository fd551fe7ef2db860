"""
A stand-in of the platform's store, after PROTOCOL.md.

Usage: store_2.py PORT

Beside the calls of the pages it takes writes of the operator and of workers
at /standin/put and /standin/remove, and drops entries of workers that have
been silent for three ping intervals.
"""

import asyncio
import base64
import json
import sys
import time

from tornado.web import Application, RequestHandler

TX_S = 0.008
REPLY_S = 0.004
PAGE_ROWS = 500
HISTORY_S = 20
ENTRY_EXPIRY_S = 4.5
READ_ONLY = ('op', 'servers')


class Store:
    """
    Rows, their versions and the changes of the last seconds.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changes = []
        self.dropped_version = 0
        self.changed = asyncio.Event()
        self.locks = {}
        self.heard_s = {}
        # By run of a gang: the members that are present, and how it has ended.
        self.gangs = {}

    def write(self, part, writes, removals):
        self.version += 1
        for table, key, value in writes:
            row = self._row(table, part, key, value, tombstone=False)
            self.rows[table, part, key] = row
        for table, key in removals:
            if self.rows.pop((table, part, key), None) is not None:
                self._row(table, part, key, '', tombstone=True)
        self._forget_old_changes()
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table, part, key, value, *, tombstone):
        row = {
            'table': table,
            'part': part,
            'key': key,
            'value': value,
            'ver': self.version,
            'tombstone': tombstone,
        }
        self.changes.append((time.monotonic(), row))
        return row

    def _forget_old_changes(self):
        oldest_s = time.monotonic() - HISTORY_S
        while self.changes and self.changes[0][0] < oldest_s:
            self.dropped_version = self.changes.pop(0)[1]['ver']

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.2)
            now_s = time.monotonic()
            for key, heard_s in list(self.heard_s.items()):
                if now_s - heard_s > ENTRY_EXPIRY_S:
                    self.heard_s.pop(key)
                    self.write('', (), (('servers', key),))


class Handler(RequestHandler):
    """
    Sends JSON.
    """

    def initialize(self, store):
        self.store = store

    def reply(self, status, **fields):
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        now_ms = int(time.monotonic() * 1000)
        self.finish(
            json.dumps({'ver': self.store.version, 'now_ms': now_ms, **fields})
        )


class Transaction(Handler):
    """
    Applies a transaction, one after another in each part.
    """

    async def post(self):
        body = json.loads(self.request.body)
        expected = body.get('expected', [])
        writes = body.get('writes', [])
        remove = body.get('remove', [])
        entries = [*expected, *writes, *remove]
        parts = {entry.get('part', '') for entry in entries}
        changed = [*writes, *remove]
        if len(parts) != 1 or any(row['table'] in READ_ONLY for row in changed):
            self.reply(403)
            return
        part = parts.pop()
        async with self.store.locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            rows = self.store.rows
            current = [
                rows.get((row['table'], part, row['key'])) for row in expected
            ]
            holds = all(
                (row['ver'] if row else 0) == wanted['ver']
                for row, wanted in zip(current, expected, strict=True)
            )
            if holds:
                self.store.write(
                    part,
                    [(row['table'], row['key'], row['value']) for row in writes],
                    [(row['table'], row['key']) for row in remove],
                )
        if holds:
            self.reply(200)
        else:
            self.reply(412, rows=[row for row in current if row])


class Read(Handler):
    """
    Reads a range of keys of one part.
    """

    async def get(self):
        await asyncio.sleep(REPLY_S)
        table = self.get_query_argument('table')
        part = self.get_query_argument('part', '')
        first = self.get_query_argument('from', '', strip=False)
        end = self.get_query_argument('to', '', strip=False)
        limit = min(int(self.get_query_argument('limit', '500')), PAGE_ROWS)
        found = [
            row
            for key, row in sorted(self.store.rows.items())
            if key[:2] == (table, part)
            and key[2] >= first
            and (not end or key[2] < end)
        ]
        self.reply(200, rows=found[:limit], has_more=len(found) > limit)


class Feed(Handler):
    """
    Sends changes as soon as there are some.
    """

    async def get(self):
        await asyncio.sleep(REPLY_S)
        table = self.get_query_argument('table')
        after = int(self.get_query_argument('after'))
        wait_s = float(self.get_query_argument('wait_ms', '0')) / 1000
        end_s = time.monotonic() + wait_s
        while True:
            if after < self.store.dropped_version:
                self.reply(410)
                return
            found = [
                row
                for _, row in self.store.changes
                if row['table'] == table and row['ver'] > after
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                self.reply(200, rows=found[:PAGE_ROWS])
                return
            try:
                await asyncio.wait_for(self.store.changed.wait(), left_s)
            except TimeoutError:
                continue


class Put(Handler):
    """
    Writes a row for the operator or a worker.
    """

    def post(self):
        body = json.loads(self.request.body)
        value = base64.b64encode(body['value'].encode()).decode()
        self.store.write('', [(body['table'], body['key'], value)], ())
        if body['table'] == 'servers':
            self.store.heard_s[body['key']] = time.monotonic()
        self.reply(200)


class Remove(Handler):
    """
    Removes the entry of a worker that leaves.
    """

    def post(self):
        body = json.loads(self.request.body)
        self.store.heard_s.pop(body['key'], None)
        self.store.write('', (), [(body['table'], body['key'])])
        self.reply(200)


class Gang(Handler):
    """
    Lets the members of a run of a gang know of each other.
    """

    def post(self):
        body = json.loads(self.request.body)
        gang = self.store.gangs.setdefault(
            body['run'], {'members': [], 'ended': ''}
        )
        if body['member'] not in gang['members']:
            gang['members'].append(body['member'])
        gang['ended'] = gang['ended'] or body.get('ended', '')
        self.reply(200, **gang)


class Part(Handler):
    """
    Shows the rows of a table, for the record.
    """

    def get(self):
        table = self.get_query_argument('table')
        rows = [row for key, row in self.store.rows.items() if key[0] == table]
        self.reply(200, rows=rows)


async def main(port):
    store = Store()
    options = {'store': store}
    application = Application(
        [
            ('/hawthornpier/rows-tx', Transaction, options),
            ('/hawthornpier/rows-get', Read, options),
            ('/hawthornpier/rows-feed', Feed, options),
            ('/standin/put', Put, options),
            ('/standin/remove', Remove, options),
            ('/standin/gang', Gang, options),
            ('/standin/table', Part, options),
        ],
        log_function=lambda handler: None,
    )
    application.listen(port, '127.0.0.1')
    await store.expire_entries()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1])))
