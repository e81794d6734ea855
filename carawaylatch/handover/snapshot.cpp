// Size and merging of snapshots.
//
// The estimate adds up upper bounds of the encoded sizes: 14 bytes for a block (8 of
// the key, up to 5 of the age), 16 for a level (8 of the key, 4 of the heat, the rest
// for the spread), and the length of the configuration's text. Only hot state is
// dropped, since a router can work without it: levels of least heat beyond a quarter
// of the space, then the blocks used longest ago. Rows, marks and floors are never
// dropped.
#include "carawaylatch/handover/snapshot.h"

#include <algorithm>
#include <map>
#include <set>

#include "carawaylatch/config/head.h"

namespace carawaylatch::handover
{

namespace
{

constexpr std::size_t BlockBytes = 14;
constexpr std::size_t LevelBytes = 16;
constexpr std::size_t MemberBytes = 180;
constexpr std::size_t UpstreamBytes = 90; // an incarnation, a mark, or the fields around an upstream's blocks
constexpr std::size_t FloorBytes = 220;

std::size_t blockCount(const Snapshot &snapshot)
{
    std::size_t count = 0;
    for (const auto &it : snapshot.placements.upstreams) {
        count += it.blocks.size();
    }
    return count;
}

// Keeps at most the `count` most recently used blocks. Blocks of equal age at the
// limit are dropped together.
void keepNewestBlocks(prefix::HotPlacements &placements, std::size_t count)
{
    std::vector<std::uint32_t> ages;
    for (const auto &it : placements.upstreams) {
        for (const auto &block : it.blocks) {
            ages.push_back(block.ageMilliseconds);
        }
    }
    if (ages.size() <= count) {
        return;
    }
    std::nth_element(ages.begin(), ages.begin() + static_cast<std::ptrdiff_t>(count), ages.end());
    const auto limit = ages[count];
    for (auto &it : placements.upstreams) {
        std::erase_if(it.blocks, [limit](const prefix::HotBlock &block) {
            return block.ageMilliseconds >= limit;
        });
    }
}

void keepHottestLevels(prefix::HotLevels &levels, std::size_t count)
{
    std::sort(levels.levels.begin(), levels.levels.end(), [](const prefix::HotLevel &first, const prefix::HotLevel &second) {
        return first.heat > second.heat;
    });
    levels.levels.resize(std::min(count, levels.levels.size()));
}

template <typename T, typename Key, typename Newer>
void mergeBy(std::vector<T> &into, const std::vector<T> &from, Key key, Newer isNewer)
{
    std::map<decltype(key(from.front())), std::size_t> positions;
    for (std::size_t i = 0; i < into.size(); ++i) {
        positions[key(into[i])] = i;
    }
    for (const auto &it : from) {
        const auto [position, isNew] = positions.try_emplace(key(it), into.size());
        if (isNew) {
            into.push_back(it);
        } else if (isNewer(it, into[position->second])) {
            into[position->second] = it;
        }
    }
}

void mergePlacements(prefix::HotPlacements &into, const prefix::HotPlacements &from)
{
    for (const auto &it : from.upstreams) {
        const auto existing = std::find_if(into.upstreams.begin(), into.upstreams.end(), [&](const prefix::HotUpstream &other) {
            return other.upstream == it.upstream && other.incarnation == it.incarnation;
        });
        if (existing == into.upstreams.end()) {
            into.upstreams.push_back(it);
        } else {
            mergeBy(
                existing->blocks, it.blocks,
                [](const prefix::HotBlock &block) {
                    return block.key;
                },
                [](const prefix::HotBlock &block, const prefix::HotBlock &other) {
                    return block.ageMilliseconds < other.ageMilliseconds;
                });
        }
    }
}

} // namespace

std::size_t estimateBytes(const Snapshot &snapshot)
{
    std::size_t bytes = 100 + (snapshot.rows.revision.value != 0 ? config::formatSnapshot(snapshot.rows).size() : 0);
    bytes += snapshot.members.size() * MemberBytes;
    bytes += (snapshot.incarnations.size() + snapshot.marks.size() + snapshot.placements.upstreams.size()) * UpstreamBytes;
    bytes += snapshot.floors.size() * FloorBytes;
    bytes += blockCount(snapshot) * BlockBytes + snapshot.levels.levels.size() * LevelBytes;
    return bytes;
}

void shrinkSnapshot(Snapshot &snapshot, std::size_t maxBytes)
{
    const auto bytes = estimateBytes(snapshot);
    if (bytes <= maxBytes) {
        return;
    }
    const auto blockBytes = blockCount(snapshot) * BlockBytes;
    const auto levelBytes = snapshot.levels.levels.size() * LevelBytes;
    const auto fixedBytes = bytes - blockBytes - levelBytes;
    const auto available = maxBytes > fixedBytes ? maxBytes - fixedBytes : 0;
    const auto levelBudget = std::min(levelBytes, available / 4);
    keepHottestLevels(snapshot.levels, levelBudget / LevelBytes);
    keepNewestBlocks(snapshot.placements, (available - levelBudget) / BlockBytes);
}

void mergeSnapshot(Snapshot &into, const Snapshot &from)
{
    if (from.rows.revision > into.rows.revision) {
        into.rows = from.rows;
    }
    mergeBy(
        into.members, from.members,
        [](const membership::MemberRecord &it) {
            return it.id;
        },
        [](const membership::MemberRecord &it, const membership::MemberRecord &other) {
            return membership::supersedes(it, other);
        });
    mergeBy(
        into.marks, from.marks,
        [](const upstreams::LeavingMark &it) {
            return std::pair(it.upstream, it.incarnation);
        },
        [](const upstreams::LeavingMark &it, const upstreams::LeavingMark &other) {
            return it.generation > other.generation;
        });
    mergeBy(
        into.floors, from.floors,
        [](const FencingFloor &it) {
            return it.scope;
        },
        [](const FencingFloor &it, const FencingFloor &other) {
            return it.token > other.token;
        });
    mergeBy(
        into.incarnations, from.incarnations,
        [](const UpstreamIncarnation &it) {
            return std::pair(it.upstream, it.incarnation);
        },
        [](const UpstreamIncarnation &, const UpstreamIncarnation &) {
            return false;
        });
    mergeBy(
        into.levels.levels, from.levels.levels,
        [](const prefix::HotLevel &it) {
            return it.key;
        },
        [](const prefix::HotLevel &it, const prefix::HotLevel &other) {
            return it.heat > other.heat;
        });
    mergePlacements(into.placements, from.placements);
}

} // namespace carawaylatch::handover
