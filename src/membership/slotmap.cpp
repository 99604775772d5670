#include "membership/slotmap.h"

#include <array>
#include <cstdio>

namespace filbertgw {

namespace internal {

/** \brief Finaliser of SplitMix64: each input bit changes half of the output bits on average. */
std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t weightOf(std::uint64_t nodeHash, std::uint64_t keyHash)
{
    return mixBits(nodeHash ^ mixBits(keyHash));
}

std::vector<std::uint64_t> hashSlots()
{
    std::vector<std::uint64_t> hashes(slotCount);
    for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
        hashes[slot] = rendezvousHash("slot-" + std::to_string(slot));
    }
    return hashes;
}

const std::vector<std::uint64_t> &slotHashes()
{
    static const std::vector<std::uint64_t> hashes = hashSlots();
    return hashes;
}

bool isEligible(const Member &member)
{
    return member.state_ == MemberState::Alive || member.state_ == MemberState::Suspected;
}

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    return -1;
}

} // namespace internal

std::uint64_t rendezvousHash(const std::string &text)
{
    // FNV-1a, then a finaliser, because FNV's high bits depend little on the last characters.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return internal::mixBits(hash);
}

std::uint64_t rendezvousWeight(const std::string &node, const std::string &key)
{
    return internal::weightOf(rendezvousHash(node), rendezvousHash(key));
}

std::uint32_t slotOf(const ProgramId &program)
{
    const std::string &text = program.value();
    std::uint32_t slot = 0;
    for (std::size_t i = 1; i <= 3; ++i) {
        const int digit = i < text.size() ? internal::hexDigit(text[i]) : -1;
        slot = slot * 16U + static_cast<std::uint32_t>(digit < 0 ? 0 : digit);
    }
    return slot;
}

ProgramId makeProgramId(std::uint32_t slot, std::uint64_t randomBits)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "p%03x%016llx",
                  static_cast<unsigned int>(slot % slotCount),
                  static_cast<unsigned long long>(randomBits));
    return ProgramId(text.data());
}

void SlotMap::rebuild(const MembershipSection &members)
{
    std::vector<const NodeId *> nodes;
    std::vector<std::uint64_t> hashes;
    for (const std::pair<const NodeId, Member> &entry : members.members_) {
        if (internal::isEligible(entry.second)) {
            nodes.push_back(&entry.first);
            hashes.push_back(rendezvousHash(entry.first.value()));
        }
    }
    if (hashes == liveHashes_) {
        return;
    }
    for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
        const std::uint64_t key = internal::mixBits(internal::slotHashes()[slot]);
        std::size_t best = nodes.size();
        std::uint64_t bestWeight = 0;
        for (std::size_t i = 0; i < hashes.size(); ++i) {
            const std::uint64_t weight = internal::mixBits(hashes[i] ^ key);
            if (best == nodes.size() || weight > bestWeight) {
                best = i;
                bestWeight = weight;
            }
        }
        preferred_[slot] = best == nodes.size() ? NodeId() : *nodes[best];
    }
    liveHashes_ = std::move(hashes);
}

const NodeId &SlotMap::preferred(std::uint32_t slot) const
{
    return preferred_[slot % slotCount];
}

std::vector<std::uint32_t> SlotMap::slotsOf(const NodeId &node) const
{
    std::vector<std::uint32_t> slots;
    for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
        if (preferred_[slot] == node) {
            slots.push_back(slot);
        }
    }
    return slots;
}

} // namespace filbertgw
