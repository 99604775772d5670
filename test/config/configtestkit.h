#ifndef FILBERTGW_TEST_CONFIG_CONFIGTESTKIT_H
#define FILBERTGW_TEST_CONFIG_CONFIGTESTKIT_H

#include "config/configcontroller.h"
#include "config/configfold.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace filbertgw::configtest {

inline nlohmann::json modelRecord(const std::string &name, const std::string &id, Offset replaces, int maxTokens)
{
    return {{"kind", "model"},
            {"name", name},
            {"schema", 1},
            {"id", id},
            {"replaces", replaces},
            {"body", {{"default_max_tokens", maxTokens}}}};
}

inline nlohmann::json with(nlohmann::json record, const std::string &field, const nlohmann::json &value)
{
    record[field] = value;
    return record;
}

/** \brief The part of a section that must be equal at all nodes: versions and content in force. */
inline nlohmann::json viewOf(const ConfigSection &section)
{
    nlohmann::json view = nlohmann::json::object();
    for (const auto &entry : section.inForce_) {
        view[entry.first.first + "/" + entry.first.second] = entry.second;
    }
    for (const auto &model : section.models_) {
        view["tokens of " + model.first.value()] = model.second.defaultMaxTokens_;
    }
    return view;
}

/** \brief Virtual time with an event queue. */
class VirtualTime
{
public:
    void after(Duration delay, std::function<void()> event)
    {
        events_.emplace(now_ + delay, std::move(event));
    }
    void runUntil(Time end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = std::max(now_, events_.begin()->first);
            const std::function<void()> event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        now_ = end;
    }
    Time now() const
    {
        return now_;
    }

private:
    Time now_{0};
    std::multimap<Time, std::function<void()>> events_;
};

/** \brief In-memory log with retention, outages, delays and lost append responses. */
class MemoryLog
{
public:
    explicit MemoryLog(VirtualTime &time, std::uint64_t seed)
        : time_(time)
        , random_(seed)
    {
    }

    LogAccess access()
    {
        LogAccess access;
        access.append_ = [this](const std::string &, std::vector<nlohmann::json> entries, LogAccess::AppendDone done) {
            time_.after(randomDelay(), [this, entries, done] { append(entries, done); });
        };
        access.read_ = [this](const std::string &, Offset from, Duration wait, LogAccess::ReadDone done) {
            time_.after(randomDelay(), [this, from, wait, done] { read(from, time_.now() + wait, done); });
        };
        return access;
    }

    Offset put(const nlohmann::json &body)
    {
        entries_.push_back(LogEntry{entries_.size() + 1, time_.now(), body});
        return entries_.back().offset_;
    }

    void expireBefore(Offset first)
    {
        first_ = first;
    }

    VirtualTime &time_;
    std::mt19937_64 random_;
    std::vector<LogEntry> entries_;
    Offset first_ = 1;
    bool down_ = false;
    Duration responseDelay_{0};
    double lostResponseRate_ = 0;

private:
    Duration randomDelay()
    {
        return Duration(1'000 + random_() % 4'000);
    }

    void append(const std::vector<nlohmann::json> &entries, const LogAccess::AppendDone &done)
    {
        if (down_) {
            done(AppendResult{AppendStatus::Rejected, 0});
            return;
        }
        const Offset first = entries_.size() + 1;
        for (const nlohmann::json &body : entries) {
            put(body);
        }
        const bool lost = static_cast<double>(random_() % 1000) < lostResponseRate_ * 1000;
        const AppendResult result{lost ? AppendStatus::Unknown : AppendStatus::Durable, lost ? 0 : first};
        time_.after(responseDelay_ + randomDelay(), [done, result] { done(result); });
    }

    void read(Offset from, Time until, const LogAccess::ReadDone &done)
    {
        if (down_) {
            done(false, LogPage());
            return;
        }
        if (entries_.size() < from && time_.now() < until) {
            time_.after(std::chrono::milliseconds(20), [this, from, until, done] { read(from, until, done); });
            return;
        }
        LogPage page;
        page.firstOffset_ = first_;
        constexpr std::size_t pageEntries = 100;
        for (Offset offset = std::max(from, first_); offset <= entries_.size(); ++offset) {
            if (page.entries_.size() < pageEntries) {
                page.entries_.push_back(entries_[offset - 1]);
            }
        }
        page.nextOffset_ = page.entries_.empty() ? from : page.entries_.back().offset_ + 1;
        time_.after(responseDelay_ + randomDelay(), [done, page] { done(true, page); });
    }
};

/** \brief Nodes that tail one log, exchange their offsets twice a second and serve each other's fetches. */
class ConfigFleet
{
public:
    ConfigFleet(VirtualTime &time, MemoryLog &log, Duration retention = std::chrono::hours(7 * 24))
        : time_(time)
        , log_(log)
        , retention_(retention)
    {
    }

    void start(const std::string &name)
    {
        Node &node = nodes_[name];
        node.board_ = std::make_unique<Blackboard>();
        node.random_.seed(std::hash<std::string>{}(name));
        ConfigHooks hooks;
        hooks.now_ = [this] { return time_.now(); };
        hooks.random_ = [&node] { return node.random_(); };
        hooks.log_ = log_.access();
        hooks.changed_ = [this, name] { onChanged(name); };
        hooks.fetchFromPeer_ = [this, name](const NodeId &peer, Offset from) { fetch(name, peer.value(), from); };
        hooks.rank_ = [this, name] { return rankOf(name); };
        node.controller_ = ConfigController::Builder(*node.board_, hooks).retention(retention_).build();
        node.controller_->start();
        node.run_ = ++runs_;
        tick(name, node.run_);
        exchangeOffsets(name, node.run_);
    }

    void stop(const std::string &name)
    {
        nodes_.erase(name);
    }

    const ConfigSection &section(const std::string &name) const
    {
        return nodes_.at(name).board_->read<ConfigSection>();
    }
    const ConfigController &controller(const std::string &name) const
    {
        return *nodes_.at(name).controller_;
    }
    std::size_t reverts() const
    {
        return reverts_;
    }

private:
    struct Node
    {
        std::unique_ptr<Blackboard> board_;
        std::mt19937_64 random_;
        std::unique_ptr<ConfigController> controller_;
        std::map<std::pair<std::string, std::string>, Offset> seen_;
        std::uint64_t run_ = 0;
    };

    bool runs(const std::string &name, std::uint64_t run) const
    {
        const auto found = nodes_.find(name);
        return found != nodes_.end() && found->second.run_ == run;
    }

    std::uint32_t rankOf(const std::string &name) const
    {
        return static_cast<std::uint32_t>(std::distance(nodes_.begin(), nodes_.find(name)));
    }

    void onChanged(const std::string &name)
    {
        Node &node = nodes_.at(name);
        const ConfigSection &section = node.board_->read<ConfigSection>();
        for (const auto &entry : node.seen_) {
            const auto found = section.inForce_.find(entry.first);
            reverts_ += found == section.inForce_.end() || found->second < entry.second ? 1 : 0;
        }
        node.seen_ = section.inForce_;
    }

    void tick(const std::string &name, std::uint64_t run)
    {
        if (runs(name, run)) {
            nodes_.at(name).controller_->tick();
            time_.after(std::chrono::milliseconds(100), [this, name, run] { tick(name, run); });
        }
    }

    void exchangeOffsets(const std::string &name, std::uint64_t run)
    {
        if (!runs(name, run)) {
            return;
        }
        for (const auto &other : nodes_) {
            const Offset offset = other.second.board_->read<ConfigSection>().offset_;
            nodes_.at(name).controller_->onPeerOffset(NodeId(other.first), offset);
        }
        time_.after(std::chrono::milliseconds(500), [this, name, run] { exchangeOffsets(name, run); });
    }

    void fetch(const std::string &name, const std::string &peer, Offset from)
    {
        time_.after(std::chrono::milliseconds(2), [this, name, peer, from] {
            if (nodes_.count(name) != 0 && nodes_.count(peer) != 0) {
                constexpr std::size_t limit = 7; // Small, so that snapshots are sent in parts.
                nodes_.at(name).controller_->onPeerEntries(nodes_.at(peer).controller_->entriesFrom(from, limit));
            }
        });
    }

    VirtualTime &time_;
    MemoryLog &log_;
    Duration retention_;
    std::map<std::string, Node> nodes_;
    std::uint64_t runs_ = 0;
    std::size_t reverts_ = 0;
};

} // namespace filbertgw::configtest

#endif
