// The revision of each known object, by kind.
#include "carawaylatch/gateway/knownobjects.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace carawaylatch::gateway
{

std::vector<StoredObject> KnownObjects::onList(ObjectKind name, const std::vector<StoredObject> &objects, std::uint64_t asOf)
{
    Kind &kind = m_kinds[name];
    const bool hasLostChanges = asOf < kind.asOf;
    std::vector<StoredObject> news;
    std::set<std::string_view> listed;
    for (const StoredObject &object : objects) {
        listed.insert(object.name);
        const auto known = kind.revisions.find(object.name);
        if (known == kind.revisions.end() || known->second < object.revision || hasLostChanges) {
            kind.revisions[object.name] = object.revision;
            news.push_back(object);
        }
    }
    for (auto it = kind.revisions.begin(); it != kind.revisions.end();) {
        const bool isGone = !listed.contains(it->first) && (it->second <= asOf || hasLostChanges);
        if (isGone) {
            news.push_back({it->first, {}, asOf, true});
        }
        it = isGone ? kind.revisions.erase(it) : std::next(it);
    }
    kind.asOf = asOf;
    return news;
}

std::vector<StoredObject> KnownObjects::onChanges(ObjectKind name, const std::vector<StoredObject> &objects, std::uint64_t asOf)
{
    Kind &kind = m_kinds[name];
    std::map<std::string_view, const StoredObject *> last;
    std::set<std::string_view> unknown; // before these changes
    for (const StoredObject &object : objects) {
        last[object.name] = &object;
        if (!kind.revisions.contains(object.name)) {
            unknown.insert(object.name);
        }
    }
    std::vector<StoredObject> news;
    for (const StoredObject &object : objects) {
        const bool isLast = last[object.name] == &object;
        if (last[object.name]->isRemoved && unknown.contains(object.name)) {
            continue;
        }
        const auto known = kind.revisions.find(object.name);
        if (object.isRemoved) {
            if (isLast && asOf >= kind.asOf && known != kind.revisions.end() && known->second <= asOf) {
                kind.revisions.erase(known);
                news.push_back(object);
            }
        } else if (object.revision > kind.asOf && (known == kind.revisions.end() || known->second < object.revision)) {
            kind.revisions[object.name] = object.revision;
            news.push_back(object);
        }
    }
    kind.asOf = std::max(kind.asOf, asOf);
    return news;
}

bool KnownObjects::onObject(ObjectKind name, const StoredObject &object)
{
    Kind &kind = m_kinds[name];
    const auto known = kind.revisions.find(object.name);
    const bool isNews = known == kind.revisions.end() || known->second < object.revision;
    if (isNews) {
        kind.revisions[object.name] = object.revision;
    }
    return isNews;
}

std::uint64_t KnownObjects::knownAsOf(ObjectKind name) const
{
    const auto it = m_kinds.find(name);
    return it == m_kinds.end() ? 0 : it->second.asOf;
}

} // namespace carawaylatch::gateway
