#ifndef FILBERTGW_BENCH_SLOPES_MEMBERFLEET_H
#define FILBERTGW_BENCH_SLOPES_MEMBERFLEET_H

#include "membership/membershipcontroller.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief Entry nodes in virtual time, one MembershipController each, over links that delay and lose datagrams. */
class MemberFleet
{
public:
    explicit MemberFleet(std::uint64_t seed, double loss)
        : random_(seed)
        , loss_(loss)
    {
    }

    /** \brief Starts a node that knows the first `seeds` nodes by address. \return its index. */
    std::size_t add(std::size_t seeds)
    {
        const std::size_t index = nodes_.size();
        nodes_.push_back(std::make_unique<Node>());
        Node &node = *nodes_.back();
        node.random_.seed(random_());
        node.period_ = std::chrono::milliseconds(100);
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < std::min(seeds, index); ++i) {
            addresses.push_back(std::to_string(i));
        }
        node.controller_ = MembershipController::Builder(node.board_, hooksOf(index))
                               .self(recordOf(index))
                               .seeds(addresses)
                               .keys({"fleet-key"})
                               .build();
        schedule(now_ + Duration(random_() % 100'000), index, std::string());
        return index;
    }

    static Member recordOf(std::size_t index)
    {
        const std::string text = std::to_string(index);
        Member member;
        member.id_ = NodeId("entry-" + text);
        member.domain_ = FailureDomain("domain-" + std::to_string(index % 6));
        member.udpAddress_ = text;
        member.peerAddress_ = "10.20.30.40:" + text;
        member.httpAddress_ = "10.20.30.40:" + text;
        return member;
    }

    void run(Duration duration)
    {
        const Time end = now_ + duration;
        while (!events_.empty() && events_.top().time_ <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time_;
            Node &node = *nodes_[event.node_];
            if (node.isDead_) {
                continue;
            }
            if (event.datagram_.empty()) {
                onTick(event.node_, node);
            } else if (!node.isPaused_) {
                node.controller_->onDatagram(event.datagram_);
            }
        }
        now_ = end;
    }

    void kill(std::size_t index)
    {
        nodes_[index]->isDead_ = true;
    }
    /** \brief A paused node neither ticks nor receives; datagrams to it are lost. */
    void setPaused(std::size_t index, bool paused)
    {
        nodes_[index]->isPaused_ = paused;
    }
    /** \brief Cuts every link between nodes of which `side` differs. */
    void split(std::function<bool(std::size_t)> side)
    {
        side_ = std::move(side);
    }
    MembershipController &controller(std::size_t index)
    {
        return *nodes_[index]->controller_;
    }
    const MembershipSection &section(std::size_t index) const
    {
        return nodes_[index]->board_.read<MembershipSection>();
    }
    std::size_t size() const
    {
        return nodes_.size();
    }
    Time now() const
    {
        return now_;
    }

    /** \brief Of the running nodes other than `subject`, the share that shows it in this state. */
    double shareThatShows(std::size_t subject, MemberState state) const
    {
        std::size_t running = 0;
        std::size_t showing = 0;
        const NodeId id = recordOf(subject).id_;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (i == subject || nodes_[i]->isDead_ || nodes_[i]->isPaused_) {
                continue;
            }
            ++running;
            const MembershipSection &view = section(i);
            const auto found = view.members_.find(id);
            const MemberState shown = found == view.members_.end() ? MemberState::Dead : found->second.state_;
            showing += shown == state ? 1 : 0;
        }
        return running == 0 ? 0 : static_cast<double>(showing) / static_cast<double>(running);
    }

    /** \brief Running nodes that a running node shows as dead or doesn't know. */
    std::size_t falseDeaths() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!nodes_[i]->isDead_ && !nodes_[i]->isPaused_) {
                count += static_cast<std::size_t>((1.0 - shareOfNonDead(i)) * static_cast<double>(nodes_.size()) + 0.5);
            }
        }
        return count;
    }

    /** \brief Times that a running node began to show a running, never paused node as dead. */
    std::uint64_t deathDeclarationsOfRunning() const
    {
        return falseDeclarations_;
    }

    void resetBytes()
    {
        for (const std::unique_ptr<Node> &node : nodes_) {
            node->bytes_ = 0;
            node->datagrams_ = 0;
        }
        countedSince_ = now_;
    }
    /** \brief Datagram bytes a second that the node sent since resetBytes(). */
    double bytesPerSecond(std::size_t index) const
    {
        return static_cast<double>(nodes_[index]->bytes_) / toSeconds(now_ - countedSince_);
    }
    double datagramsPerSecond(std::size_t index) const
    {
        return static_cast<double>(nodes_[index]->datagrams_) / toSeconds(now_ - countedSince_);
    }

    /** \brief Counts false declarations from now on, in checks after every change of a node's view. */
    void watchForFalseDeaths()
    {
        isWatching_ = true;
    }

private:
    struct Node
    {
        Blackboard board_;
        std::mt19937_64 random_;
        std::unique_ptr<MembershipController> controller_;
        Duration period_{0};
        bool isDead_ = false;
        bool isPaused_ = false;
        std::uint64_t bytes_ = 0;
        std::uint64_t datagrams_ = 0;
    };
    struct Event
    {
        Time time_{0};
        std::uint64_t number_ = 0;
        std::size_t node_ = 0;
        std::string datagram_; ///< Empty for a tick.
        bool operator<(const Event &other) const
        {
            return std::make_pair(time_, number_) > std::make_pair(other.time_, other.number_);
        }
    };

    MembershipHooks hooksOf(std::size_t index)
    {
        MembershipHooks hooks;
        hooks.now_ = [this] { return now_ + std::chrono::seconds(1); };
        hooks.random_ = [this, index] { return nodes_[index]->random_(); };
        hooks.configOffset_ = [] { return std::uint64_t(100'000); };
        hooks.send_ = [this, index](const std::string &address, const std::string &datagram) {
            send(index, address, datagram);
        };
        hooks.changed_ = [this, index] { onChanged(index); };
        return hooks;
    }

    void send(std::size_t from, const std::string &address, const std::string &datagram)
    {
        Node &sender = *nodes_[from];
        sender.bytes_ += datagram.size();
        ++sender.datagrams_;
        const std::size_t to = std::stoul(address);
        const bool isCut = side_ && side_(from) != side_(to);
        const bool isLost = std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
        if (to < nodes_.size() && !isCut && !isLost) {
            schedule(now_ + Duration(400 + random_() % 800), to, datagram);
        }
    }

    void schedule(Time time, std::size_t node, std::string datagram)
    {
        events_.push(Event{time, ++eventCount_, node, std::move(datagram)});
    }

    void onTick(std::size_t index, Node &node)
    {
        if (!node.isPaused_) {
            node.controller_->tick();
        }
        schedule(now_ + node.period_, index, std::string());
    }

    void onChanged(std::size_t index)
    {
        if (!isWatching_ || nodes_[index]->isDead_) {
            return;
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const auto found = section(index).members_.find(recordOf(i).id_);
            const bool isShownDead =
                found != section(index).members_.end() && found->second.state_ == MemberState::Dead;
            falseDeclarations_ += isShownDead && !nodes_[i]->isDead_ ? 1 : 0;
        }
    }

    double shareOfNonDead(std::size_t index) const
    {
        std::size_t fine = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const auto found = section(index).members_.find(recordOf(i).id_);
            const bool isShown = found != section(index).members_.end() && found->second.state_ != MemberState::Dead;
            fine += isShown || nodes_[i]->isDead_ || nodes_[i]->isPaused_ ? 1 : 0;
        }
        return static_cast<double>(fine) / static_cast<double>(nodes_.size());
    }

    Time now_{0};
    Time countedSince_{0};
    std::mt19937_64 random_;
    double loss_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::priority_queue<Event> events_;
    std::uint64_t eventCount_ = 0;
    std::function<bool(std::size_t)> side_;
    bool isWatching_ = false;
    std::uint64_t falseDeclarations_ = 0;
};

} // namespace filbertgw::bench

#endif
