// A small model of one lender and two candidates for the explorer (testing/explorer.h), in
// which each message is delivered at any time, or never.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "carawaylatch/admission/quotaleases.h"
#include "testing/explorer.h"

namespace carawaylatch::admission::testing
{

using base::milliseconds;

inline constexpr base::TimePoint Start{base::hours{1}};

struct LeaseMessage
{
    RouterKey to = 0;
    std::variant<SharePoll, ShareAnswer> body;
};

inline std::string text(const LeaseMessage &message)
{
    std::ostringstream out;
    if (const auto *poll = std::get_if<SharePoll>(&message.body)) {
        out << "p" << poll->sender << ',' << poll->incarnation << ',' << poll->sequence << ',' << poll->groups << ',' << poll->nextPoll.count() << ','
            << poll->lenderIncarnation << ',' << poll->appliedAnswer;
    } else {
        const auto &answer = std::get<ShareAnswer>(message.body);
        out << "a" << message.to << ',' << answer.incarnation << ',' << answer.sequence << ',' << answer.pollIncarnation << ',' << answer.pollSequence << ','
            << answer.lent;
    }
    return out.str();
}

// One lender and two candidates. Each message is delivered at any time, or never.
enum Role : std::size_t {
    LenderRole,
    BetterRole,
    WorseRole,
    RoleCount
};
inline constexpr std::array<RouterKey, RoleCount> RoleKeys{1, 2, 3};
inline constexpr std::uint32_t ContestedGroup = 3; // with these keys its order is better candidate, worse candidate, lender
inline constexpr std::array<std::string_view, RoleCount> RoleNames{"lender", "better candidate", "worse candidate"};

struct ModelLimits
{
    std::array<int, RoleCount> tick{}; // milliseconds by which each clock advances
    int ticks = 0;
    int duplicates = 0;
    int restarts = 0;
    int listChanges = 0;
};

class LendingModel
{
public:
    static constexpr std::size_t MaxMessages = 3; // on the way at once; the oldest is lost

    explicit LendingModel(ModelLimits limits)
        : m_remaining(limits)
    {
        for (const RouterKey it : RoleKeys) {
            m_nodes.push_back({QuotaLeases(it, 1, Start), 1, Start});
            m_nodes.back().leases.setRouters(RoleKeys, RoleCount, Start);
        }
    }

    // Lets candidates poll the lender without faults. Polls that are due at the end are not sent.
    void settle(std::initializer_list<Role> candidates, milliseconds duration)
    {
        for (milliseconds step{0}; step < duration; step += milliseconds{10}) {
            for (const Role it : candidates) {
                if (const auto poll = pollOf(m_nodes[it])) {
                    m_nodes[it].leases.onAnswer(m_nodes[LenderRole].leases.onPoll(*poll, m_nodes[LenderRole].now), m_nodes[it].now);
                }
            }
            for (Node &it : m_nodes) {
                it.now += milliseconds{10};
            }
        }
    }

    // The lender restarts while a poll of the better candidate is late, and so is the former process's answer to a
    // later one; the worse candidate then polls the new process without faults.
    void restartLender(milliseconds settled)
    {
        Node &borrower = m_nodes[BetterRole];
        std::vector<SharePoll> polls;
        while (polls.size() < 2) {
            if (const auto poll = pollOf(borrower)) {
                polls.push_back(*poll);
            }
            for (Node &it : m_nodes) {
                it.now += milliseconds{10};
            }
        }
        send({RoleKeys[LenderRole], polls[0]});
        deliver({RoleKeys[LenderRole], polls[1]});
        restart(LenderRole);
        settle({WorseRole}, settled);
    }

    using Transitions = std::vector<carawaylatch::testing::Transition<LendingModel>>;

    Transitions transitions() const
    {
        Transitions result;
        if (m_remaining.ticks > 0) {
            LendingModel next = *this;
            --next.m_remaining.ticks;
            for (std::size_t i = 0; i < RoleCount; ++i) {
                next.m_nodes[i].now += milliseconds{m_remaining.tick[i]};
            }
            result.push_back({"tick", std::move(next)});
        }
        for (std::size_t i = 0; i < RoleCount; ++i) {
            addSteps(result, i);
        }
        for (std::size_t i = 0; i < m_messages.size(); ++i) {
            LendingModel next = *this;
            next.m_messages.erase(next.m_messages.begin() + static_cast<std::ptrdiff_t>(i));
            next.deliver(m_messages[i]);
            result.push_back({"arrives: " + text(m_messages[i]), std::move(next)});
            if (m_remaining.duplicates > 0) {
                LendingModel twice = *this;
                --twice.m_remaining.duplicates;
                twice.deliver(m_messages[i]);
                result.push_back({"a copy arrives: " + text(m_messages[i]), std::move(twice)});
            }
        }
        return result;
    }

    std::string violation() const
    {
        for (std::uint32_t group = 0; group < LimitGroups; ++group) {
            int holders = 0;
            for (const Node &it : m_nodes) {
                const auto owners = it.leases.heldFrom(group, it.now);
                holders += static_cast<int>(std::count(owners.begin(), owners.end(), RoleKeys[LenderRole]));
            }
            if (holders > 1) {
                return "two routers may use the lender's share of group " + std::to_string(group);
            }
        }
        return {};
    }

    std::string key() const
    {
        std::string key;
        for (const Node &it : m_nodes) {
            key += it.leases.stateText(it.now) + '#' + std::to_string(it.now.time_since_epoch().count()) + '#';
        }
        std::vector<std::string> messages;
        for (const LeaseMessage &it : m_messages) {
            messages.push_back(text(it));
        }
        for (const std::string &it : messages) {
            key += it + '/';
        }
        std::ostringstream out;
        out << m_remaining.ticks << ',' << m_remaining.duplicates << ',' << m_remaining.restarts << ',' << m_remaining.listChanges;
        return key + out.str();
    }

    [[nodiscard]] bool holdsLendersShare(Role role, std::uint32_t group) const
    {
        const auto owners = m_nodes[role].leases.heldFrom(group, m_nodes[role].now);
        return std::find(owners.begin(), owners.end(), RoleKeys[LenderRole]) != owners.end();
    }

private:
    struct Node
    {
        QuotaLeases leases;
        std::uint64_t incarnation = 1;
        base::TimePoint now;
        bool isListed = true; // by itself
    };

    static std::optional<SharePoll> pollOf(Node &node)
    {
        for (const auto &[to, poll] : node.leases.duePolls(node.now)) {
            if (to == RoleKeys[LenderRole]) {
                return poll;
            }
        }
        return std::nullopt;
    }

    void send(const LeaseMessage &message)
    {
        if (m_messages.size() == MaxMessages) {
            m_messages.erase(m_messages.begin());
        }
        m_messages.push_back(message);
    }

    void deliver(const LeaseMessage &message)
    {
        Node &node = m_nodes[message.to - 1];
        if (const auto *poll = std::get_if<SharePoll>(&message.body)) {
            send({poll->sender, node.leases.onPoll(*poll, node.now)});
        } else {
            node.leases.onAnswer(std::get<ShareAnswer>(message.body), node.now);
        }
    }

    void addSteps(Transitions &result, std::size_t index) const
    {
        const std::string name(RoleNames[index]);
        if (index != LenderRole) {
            LendingModel next = *this;
            if (const auto poll = pollOf(next.m_nodes[index])) {
                next.send({RoleKeys[LenderRole], *poll});
                result.push_back({name + " polls: " + text(next.m_messages.back()), std::move(next)});
            }
        }
        if (m_remaining.restarts > 0) {
            LendingModel next = *this;
            --next.m_remaining.restarts;
            next.restart(index);
            result.push_back({name + " restarts", std::move(next)});
        }
        if (m_remaining.listChanges > 0) {
            LendingModel next = *this;
            --next.m_remaining.listChanges;
            next.changeList(index);
            result.push_back({name + " changes its list", std::move(next)});
        }
    }

    void restart(std::size_t index)
    {
        Node &node = m_nodes[index];
        node = {QuotaLeases(RoleKeys[index], node.incarnation + 1, node.now), node.incarnation + 1, node.now, true};
        node.leases.setRouters(RoleKeys, RoleCount, node.now);
    }

    // A candidate learns that it is not listed, or again that it is; the lender the same of the worse candidate.
    void changeList(std::size_t index)
    {
        Node &node = m_nodes[index];
        node.isListed = !node.isListed;
        std::vector<RouterKey> routers(RoleKeys.begin(), RoleKeys.end());
        if (!node.isListed) {
            std::erase(routers, RoleKeys[index == LenderRole ? WorseRole : index]);
        }
        node.leases.setRouters(routers, RoleCount, node.now);
    }

    std::vector<Node> m_nodes;
    std::vector<LeaseMessage> m_messages;
    ModelLimits m_remaining;
};

} // namespace carawaylatch::admission::testing
