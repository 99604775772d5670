#include "membership/digestexchange.h"

#include "membership/claimcodec.h"

#include <algorithm>
#include <array>

namespace filbertgw::internal {

namespace {

constexpr Duration digestInterval = std::chrono::seconds(2);
/** \brief Delay of the next digest after a possible difference between the views was found. */
constexpr Duration digestRetryInterval = std::chrono::milliseconds(400);
/** \brief Every n-th digest goes to a dead member, so that the sides of a network partition find each other again. */
constexpr std::uint64_t deadDigestPeriod = 4;
constexpr std::size_t bucketHashBytes = 4;

using BucketHashes = std::array<std::uint32_t, bucketCount>;

/** \brief Encodes the hashes of all buckets, least significant byte first. */
std::vector<std::uint8_t> encodeBuckets(const BucketHashes &buckets)
{
    std::vector<std::uint8_t> bytes;
    for (std::uint32_t bucket : buckets) {
        for (std::size_t i = 0; i < bucketHashBytes; ++i) {
            bytes.push_back(static_cast<std::uint8_t>(bucket >> (8 * i)));
        }
    }
    return bytes;
}

BucketHashes decodeBuckets(const std::string &bytes)
{
    BucketHashes buckets{};
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const std::uint32_t byte = static_cast<std::uint8_t>(bytes[i]);
        buckets[i / bucketHashBytes] |= byte << (8 * (i % bucketHashBytes));
    }
    return buckets;
}

} // namespace

DigestExchange::DigestExchange(MemberView &view,
                               MemberMessenger &messenger,
                               MemberGossip &gossip,
                               const MembershipHooks &hooks)
    : view_(view)
    , messenger_(messenger)
    , gossip_(gossip)
    , hooks_(hooks)
{
}

void DigestExchange::start(Time now)
{
    nextDigest_ = now + Duration(hooks_.random_() % static_cast<std::uint64_t>(digestInterval.count()));
}

void DigestExchange::tick(Time now)
{
    if (now < nextDigest_) {
        return;
    }
    nextDigest_ = now + digestInterval;
    ++digestsSent_;
    const std::vector<MemberHash> dead =
        digestsSent_ % deadDigestPeriod == 0 ? view_.dead() : std::vector<MemberHash>();
    if (!dead.empty()) {
        sendDigest(dead[hooks_.random_() % dead.size()]);
        return;
    }
    for (MemberHash peer : messenger_.randomMembers(1, view_.self())) {
        sendDigest(peer);
    }
}

void DigestExchange::scheduleSoon()
{
    nextDigest_ = std::min(nextDigest_, hooks_.now_() + digestRetryInterval);
}

void DigestExchange::sendDigest(MemberHash peer)
{
    nlohmann::json message = messenger_.messageFromSelf(DatagramType::Digest);
    message.push_back(view_.digest());
    messenger_.sendTo(peer, message);
}

void DigestExchange::onDigest(MessageReader &reader, MemberHash sender)
{
    const std::uint64_t digest = reader.number();
    if (!reader.isValid() || view_.find(sender) == nullptr) {
        return;
    }
    gossip_.requestRefutation(sender, false);
    if (digest == view_.digest()) {
        return;
    }
    nlohmann::json reply = messenger_.messageFromSelf(DatagramType::Buckets);
    reply.push_back(nlohmann::json::binary(encodeBuckets(view_.buckets())));
    messenger_.sendTo(sender, reply);
}

void DigestExchange::onBuckets(MessageReader &reader, MemberHash sender)
{
    const std::string bytes = reader.bytes(bucketCount * bucketHashBytes);
    if (!reader.isValid()) {
        return;
    }
    const BucketHashes own = view_.buckets();
    const BucketHashes other = decodeBuckets(bytes);
    std::uint64_t differing = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        differing |= other[bucket] != own[bucket] ? 1ULL << bucket : 0;
    }
    scheduleSoon();
    sendEntries(sender, differing, true);
}

void DigestExchange::sendEntries(MemberHash peer, std::uint64_t mask, bool wantsReply)
{
    std::vector<Claim> claims;
    std::uint64_t included = 0;
    const auto flush = [&] {
        nlohmann::json message = messenger_.messageFromSelf(DatagramType::Entries);
        message.push_back(wantsReply ? std::uint64_t(1) : std::uint64_t(0));
        message.push_back(included);
        for (const Claim &claim : claims) {
            appendClaim(message, claim);
        }
        messenger_.sendTo(peer, message);
        claims.clear();
        included = 0;
    };
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if ((mask >> bucket & 1U) == 0) {
            continue;
        }
        std::vector<Claim> added = view_.claimsOf(bucket);
        added.resize(std::min(added.size(), maxClaimsPerDatagram));
        if (claims.size() + added.size() > maxClaimsPerDatagram) {
            flush();
        }
        claims.insert(claims.end(), added.begin(), added.end());
        included |= 1ULL << bucket;
    }
    if (included != 0) {
        flush();
    }
}

void DigestExchange::onEntries(MessageReader &reader, MemberHash sender)
{
    const bool wantsReply = reader.number() != 0;
    const std::uint64_t mask = reader.number();
    const std::vector<Claim> claims = readClaims(reader);
    if (!reader.isValid() || view_.find(sender) == nullptr) {
        return;
    }
    if (wantsReply) {
        sendEntries(sender, mask, false);
    }
    gossip_.apply(claims, ClaimSource::Exchange, sender);
}

void DigestExchange::onRecordRequest(MessageReader &reader, MemberHash sender)
{
    std::vector<MemberHash> subjects;
    while (!reader.atEnd()) {
        subjects.push_back(reader.number());
    }
    const Peer *peer = view_.find(sender);
    if (reader.isValid() && peer != nullptr) {
        messenger_.sendRecords(view_.memberOf(*peer).udpAddress_, subjects);
    }
}

} // namespace filbertgw::internal
