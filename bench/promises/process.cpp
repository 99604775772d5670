#include "promises/process.h"

namespace filbertgw::bench {

namespace {

constexpr std::size_t slots = 4096;

std::uint64_t weightOf(const std::string &node, std::uint64_t key)
{
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char c : node) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return SeededRandom(hash ^ (key * 0x9e3779b97f4a7c15ULL)).next();
}

} // namespace

const std::string &Process::preferred(std::uint32_t slot)
{
    if (preferred_.empty()) {
        preferred_.resize(slots);
    }
    std::string &cached = preferred_[slot % slots];
    if (cached.empty()) {
        std::uint64_t best = 0;
        for (const std::pair<const std::string, PeerView> &entry : view_) {
            if (entry.second.alive_ && !entry.second.leaving_) {
                const std::uint64_t weight = weightOf(entry.first, slot);
                if (cached.empty() || weight > best) {
                    best = weight;
                    cached = entry.first;
                }
            }
        }
    }
    return cached;
}

std::string Process::preferredFor(const std::string &key) const
{
    std::string result;
    std::uint64_t best = 0;
    for (const std::pair<const std::string, PeerView> &entry : view_) {
        const std::uint64_t weight = weightOf(entry.first + "/" + key, 0);
        if (entry.second.alive_ && !entry.second.leaving_ && (result.empty() || weight > best)) {
            best = weight;
            result = entry.first;
        }
    }
    return result;
}

void Process::viewChanged()
{
    preferred_.clear();
    controller_->onMembership();
}

void runIn(const std::shared_ptr<Process> &process, std::function<void()> run)
{
    if (process->dead_) {
        return;
    }
    if (process->paused_) {
        process->held_.push_back(std::move(run));
    } else {
        run();
    }
}

} // namespace filbertgw::bench
