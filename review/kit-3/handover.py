"""A store that hands partitions over as the platform's pages tell: a partition
that its member has to give up goes to the next one when the member joins again
with the new generation, or has left, or has sent nothing for its `ttlMs`."""

import json
import random
import time

from kit import stand_in


class Store(stand_in.Store):
    async def log_join(self, query, body, writer):
        call = json.loads(body)
        group = self.groups.setdefault(
            call["group"], {"generation": 0, "members": {}, "owners": {}, "targets": {}, "topics": call["topics"]})
        now = time.monotonic()
        member = call["member"]
        group["members"][member] = now + call["ttlMs"] / 1000
        self.expire(group, now)
        if call["generation"] >= group["generation"]:
            # The member has seen what it has to give up.
            for place, owner in list(group["owners"].items()):
                if owner == member and group["targets"][place] != member:
                    group["owners"][place] = group["targets"][place]
        mine = [[topic, part, 0] for (topic, part), owner in group["owners"].items()
                if owner == member and group["targets"][(topic, part)] == member]
        stand_in.answer(writer, 200, {"generation": group["generation"], "ttlMs": call["ttlMs"], "parts": mine})

    def expire(self, group, now):
        """Deals the partitions anew if the members have changed."""
        live = sorted(m for m, until in group["members"].items() if until > now)
        if set(live) == set(group.get("known", ())):
            return
        group["known"] = live
        group["members"] = {m: group["members"][m] for m in live}
        places = [(topic, part) for topic in group["topics"] for part in range(self.parts)]
        random.Random(group["generation"]).shuffle(places)
        least, larger = divmod(len(places), len(live))
        counts, targets = dict.fromkeys(live, 0), {}
        for place in places:
            member = group["targets"].get(place)
            if member in counts and counts[member] < least + (larger > 0):
                targets[place] = member
                counts[member] += 1
                larger -= counts[member] > least
        for place in places:
            if place not in targets:
                targets[place] = min(live, key=lambda m: (counts[m], m))
                counts[targets[place]] += 1
            if group["owners"].get(place) not in counts:
                group["owners"][place] = targets[place]  # It had no member, or one that is gone.
        group["targets"] = targets
        group["generation"] += 1

    async def log_leave(self, query, body, writer):
        call = json.loads(body)
        group = self.groups.get(call["group"])
        if group is not None:
            group["members"].pop(call["member"], None)
            if group["members"]:
                self.expire(group, time.monotonic())
        stand_in.answer(writer, 200, {})
