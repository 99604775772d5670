#include "fleet/fleetmessage.h"

#include "core/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace filbertgw {

namespace internal {
namespace {

const char *const senderKey = "n";
const char *const ledgerCurrentKey = "c";
const char *const ledgerCompleteKey = "k";
const char *const loadKey = "l";
const char *const partsKey = "p";
const char *const pacesKey = "v";
const char *const crashesKey = "x";
const char *const limitsKey = "r";
/** Nodes of 7dee4eb neither send nor read these two. */
const char *const outcomesKey = "h";
const char *const ejectionsKey = "j";
const char *const originsKey = "o";
const char *const cutOffKey = "e"; ///< Nodes that reach no endpoint: the sender, or members of its group.
const char *const configurationKey = "f"; ///< Version that the sender offers; only with client accounts.
const char *const accountsKey = "a";
const char *const missesGrantsKey = "w"; ///< Only sent if true; nodes of the version before neither send nor read it.
const char *const groupKey = "g";
const char *const membersKey = "m";
const char *const datagramAddressKey = "d";
const char *const linkAddressKey = "u";
const char *const domainKey = "z";
/** Upper bound on the groups of a domain; a message with a larger count is invalid. */
constexpr std::uint64_t maxGroups = 1024;
/** Notices with a greater age are invalid. */
constexpr std::uint64_t maxNoticeAgeMs = 3'600'000;

bool hasString(const nlohmann::json &body, const char *key)
{
    return body.contains(key) && body[key].is_string();
}

bool hasArray(const nlohmann::json &body, const char *key)
{
    return body.contains(key) && body[key].is_array();
}

bool isTuple(const nlohmann::json &entry, std::size_t size)
{
    return entry.is_array() && entry.size() == size;
}

void decodeLoad(const nlohmann::json &list, NodeReport &report)
{
    for (const nlohmann::json &entry : list) {
        if (isTuple(entry, 2) && entry[0].is_string() && entry[1].is_number_unsigned()) {
            report.load_.emplace_back(entry[0].get<std::string>(), entry[1].get<std::uint32_t>());
        }
    }
}

void decodeParts(const nlohmann::json &list, NodeReport &report)
{
    for (const nlohmann::json &entry : list) {
        if (isTuple(entry, 3) && entry[0].is_string() && entry[1].is_string() && entry[2].is_number_unsigned()) {
            report.cachedParts_.push_back(
                CachedPart{entry[0].get<std::string>(), entry[1].get<std::string>(), entry[2].get<std::uint64_t>()});
        }
    }
}

void decodePaces(const nlohmann::json &list, NodeReport &report)
{
    for (const nlohmann::json &entry : list) {
        if (isTuple(entry, 4) && entry[0].is_string() && entry[1].is_number() && entry[2].is_number()
            && entry[3].is_number()) {
            report.paces_.push_back(
                ServicePace{entry[0].get<std::string>(),
                            PaceSums{entry[1].get<double>(), entry[2].get<double>(), entry[3].get<double>()}});
        }
    }
}

void decodeCrashes(const nlohmann::json &list, NodeReport &report)
{
    for (const nlohmann::json &entry : list) {
        if (isTuple(entry, 3) && entry[0].is_string() && entry[1].is_string() && entry[2].is_boolean()) {
            report.crashes_.push_back(
                CrashRecord{entry[0].get<std::string>(), entry[1].get<std::string>(), entry[2].get<bool>()});
        }
    }
}

/** An entry is [endpoint, age in milliseconds, requests a second]; the last is null if the limit has ended. */
void decodeLimits(const nlohmann::json &list, NodeReport &report)
{
    for (const nlohmann::json &entry : list) {
        const bool isNotice = isTuple(entry, 3) && entry[0].is_string() && entry[1].is_number_unsigned()
            && entry[1] <= maxNoticeAgeMs && (entry[2].is_null() || (entry[2].is_number() && entry[2] >= 0.0));
        if (!isNotice) {
            continue;
        }
        RateLimitNotice notice;
        notice.endpoint_ = entry[0].get<std::string>();
        notice.age_ = std::chrono::milliseconds(entry[1].get<std::uint64_t>());
        if (!entry[2].is_null()) {
            notice.requestsPerSecond_ = entry[2].get<double>();
        }
        report.limits_.push_back(std::move(notice));
    }
}

/** An entry is [endpoint, requests, failures], the numbers in hundredths. */
nlohmann::json encodeOutcomes(const std::vector<EndpointOutcomes> &outcomes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const EndpointOutcomes &entry : outcomes) {
        list.push_back({entry.endpoint_, std::llround(entry.requests_ * 100.0), std::llround(entry.failures_ * 100.0)});
    }
    return list;
}

void decodeOutcomes(const nlohmann::json &list, NodeReport &report)
{
    constexpr std::uint64_t maxHundredths = 100'000'000;
    for (const nlohmann::json &entry : list) {
        const bool isValid = isTuple(entry, 3) && entry[0].is_string() && entry[1].is_number_unsigned()
            && entry[2].is_number_unsigned() && entry[2] <= entry[1] && entry[1] <= maxHundredths;
        if (isValid) {
            report.outcomes_.push_back(EndpointOutcomes{
                entry[0].get<std::string>(), entry[1].get<double>() / 100.0, entry[2].get<double>() / 100.0});
        }
    }
}

/** An entry is [endpoint, age in milliseconds, whether it is ejected]. */
nlohmann::json encodeEjections(const std::vector<EjectionNotice> &ejections)
{
    nlohmann::json list = nlohmann::json::array();
    for (const EjectionNotice &notice : ejections) {
        const auto ageMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, notice.age_.count()) / 1000);
        list.push_back({notice.endpoint_, ageMs, notice.isEjected_});
    }
    return list;
}

void decodeEjections(const nlohmann::json &list, NodeReport &report)
{
    for (const nlohmann::json &entry : list) {
        const bool isNotice = isTuple(entry, 3) && entry[0].is_string() && entry[1].is_number_unsigned()
            && entry[1] <= maxNoticeAgeMs && entry[2].is_boolean();
        if (isNotice) {
            report.ejections_.push_back(EjectionNotice{entry[0].get<std::string>(),
                                                       entry[2].get<bool>(),
                                                       std::chrono::milliseconds(entry[1].get<std::uint64_t>())});
        }
    }
}

/** An entry is [service, [account, running, priority, ...]], with three numbers for each account. */
nlohmann::json encodeAccounts(const std::vector<AccountLoad> &load)
{
    std::map<std::string, nlohmann::json> services;
    for (const AccountLoad &entry : load) {
        nlohmann::json &numbers = services.try_emplace(entry.service_, nlohmann::json::array()).first->second;
        numbers.push_back(entry.account_);
        numbers.push_back(entry.running_);
        numbers.push_back(entry.priority_);
    }
    nlohmann::json list = nlohmann::json::array();
    for (const std::pair<const std::string, nlohmann::json> &service : services) {
        list.push_back({service.first, service.second});
    }
    return list;
}

std::optional<std::uint32_t> smallNumber(const nlohmann::json &value, std::uint32_t max)
{
    const bool isSmall = value.is_number_unsigned() && value <= max;
    return isSmall ? std::optional<std::uint32_t>(value.get<std::uint32_t>()) : std::nullopt;
}

std::vector<AccountLoad> decodeAccounts(const nlohmann::json &list)
{
    constexpr std::uint32_t maxRunning = 1'000'000;
    constexpr std::uint32_t maxPriority = 1'000'000; // As the configuration allows.
    constexpr std::size_t numbersPerAccount = 3;
    std::vector<AccountLoad> load;
    for (const nlohmann::json &entry : list) {
        if (!isTuple(entry, 2) || !entry[0].is_string() || !entry[1].is_array()) {
            continue;
        }
        const nlohmann::json &numbers = entry[1];
        for (std::size_t i = 0; i + numbersPerAccount <= numbers.size(); i += numbersPerAccount) {
            const auto account = smallNumber(numbers[i], std::numeric_limits<std::uint32_t>::max());
            const auto running = smallNumber(numbers[i + 1], maxRunning);
            const auto priority = smallNumber(numbers[i + 2], maxPriority);
            if (account && running && priority) {
                load.push_back(AccountLoad{entry[0].get<std::string>(), *account, *running, *priority});
            }
        }
    }
    return load;
}

std::vector<GroupMember> decodeMembers(const nlohmann::json &list)
{
    std::vector<GroupMember> members;
    for (const nlohmann::json &entry : list) {
        if (isTuple(entry, 3) && entry[0].is_string() && entry[1].is_boolean() && entry[2].is_boolean()) {
            members.push_back(
                GroupMember{entry[0].get<std::string>(), LedgerState{entry[1].get<bool>(), entry[2].get<bool>()}});
        }
    }
    return members;
}

void applyCutOff(const nlohmann::json &names, FleetMessage &message)
{
    for (const nlohmann::json &name : names) {
        if (name == message.sender_) {
            message.report_.reachesEndpoints_ = false;
        }
        for (GroupMember &member : message.members_) {
            member.reachesEndpoints_ = member.reachesEndpoints_ && name != member.name_;
        }
    }
}

std::optional<FleetGroup> decodeGroup(const nlohmann::json &entry)
{
    const bool isGroup = isTuple(entry, 4) && entry[0].is_string() && entry[1].is_number_unsigned()
        && entry[2].is_number_unsigned() && entry[3].is_number_unsigned() && entry[1] < entry[2]
        && entry[2] <= maxGroups;
    if (!isGroup) {
        return std::nullopt;
    }
    return FleetGroup{entry[0].get<std::string>(), entry[1].get<std::uint64_t>(), entry[2].get<std::uint64_t>()};
}

} // namespace
} // namespace internal

std::string FleetGroup::name() const
{
    return "group " + domain_ + '/' + std::to_string(index_) + '/' + std::to_string(count_);
}

std::string encode(const FleetMessage &message)
{
    nlohmann::json load = nlohmann::json::array();
    for (const std::pair<std::string, std::uint32_t> &entry : message.report_.load_) {
        load.push_back({entry.first, entry.second});
    }
    nlohmann::json parts = nlohmann::json::array();
    for (const CachedPart &part : message.report_.cachedParts_) {
        parts.push_back({part.endpoint_, part.part_, part.tokens_});
    }
    nlohmann::json paces = nlohmann::json::array();
    for (const ServicePace &pace : message.report_.paces_) {
        paces.push_back({pace.service_, pace.sums_.weight_, pace.sums_.timeLeft_, pace.sums_.slowdown_});
    }
    nlohmann::json body = {{internal::partsKey, parts},
                           {internal::pacesKey, paces},
                           {internal::senderKey, message.sender_},
                           {internal::ledgerCurrentKey, message.report_.ledger_.current_},
                           {internal::ledgerCompleteKey, message.report_.ledger_.complete_},
                           {internal::loadKey, load}};
    if (!message.report_.crashes_.empty()) {
        nlohmann::json crashes = nlohmann::json::array();
        for (const CrashRecord &crash : message.report_.crashes_) {
            crashes.push_back({crash.request_, crash.endpoint_, crash.isExcused_});
        }
        body[internal::crashesKey] = std::move(crashes);
    }
    if (!message.report_.limits_.empty()) {
        nlohmann::json limits = nlohmann::json::array();
        for (const RateLimitNotice &notice : message.report_.limits_) {
            const nlohmann::json rate =
                notice.requestsPerSecond_ ? nlohmann::json(*notice.requestsPerSecond_) : nlohmann::json();
            const auto ageMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, notice.age_.count()) / 1000);
            limits.push_back({notice.endpoint_, ageMs, rate});
        }
        body[internal::limitsKey] = std::move(limits);
    }
    nlohmann::json cutOff = nlohmann::json::array();
    if (!message.report_.reachesEndpoints_) {
        cutOff.push_back(message.sender_);
    }
    for (const GroupMember &member : message.members_) {
        if (!member.reachesEndpoints_ && member.name_ != message.sender_) {
            cutOff.push_back(member.name_);
        }
    }
    if (!cutOff.empty()) {
        body[internal::cutOffKey] = std::move(cutOff);
    }
    if (!message.report_.outcomes_.empty()) {
        body[internal::outcomesKey] = internal::encodeOutcomes(message.report_.outcomes_);
    }
    if (!message.report_.ejections_.empty()) {
        body[internal::ejectionsKey] = internal::encodeEjections(message.report_.ejections_);
    }
    if (!message.report_.origins_.empty()) {
        body[internal::originsKey] = encodeOrigins(message.report_.origins_);
    }
    if (message.report_.configurationVersion_ > 0) {
        body[internal::configurationKey] = message.report_.configurationVersion_;
    }
    if (message.report_.accounts_) {
        body[internal::accountsKey] = internal::encodeAccounts(*message.report_.accounts_);
    }
    if (message.report_.mayMissGrants_) {
        body[internal::missesGrantsKey] = true;
    }
    if (message.group_) {
        body[internal::groupKey] = {
            message.group_->domain_, message.group_->index_, message.group_->count_, message.report_.nodes_};
    }
    if (!message.members_.empty()) {
        nlohmann::json members = nlohmann::json::array();
        for (const GroupMember &member : message.members_) {
            members.push_back({member.name_, member.ledger_.current_, member.ledger_.complete_});
        }
        body[internal::membersKey] = std::move(members);
    }
    if (message.introduction_) {
        body[internal::datagramAddressKey] = message.introduction_->datagramAddress_;
        body[internal::linkAddressKey] = message.introduction_->linkAddress_;
        body[internal::domainKey] = message.introduction_->domain_;
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(body);
    return {bytes.begin(), bytes.end()};
}

std::optional<FleetMessage> decodeFleetMessage(const std::string &datagram)
{
    const nlohmann::json body = decodeCbor(datagram);
    const bool isMessage = body.is_object() && internal::hasString(body, internal::senderKey)
        && body.contains(internal::ledgerCurrentKey) && body[internal::ledgerCurrentKey].is_boolean()
        && body.contains(internal::ledgerCompleteKey) && body[internal::ledgerCompleteKey].is_boolean()
        && internal::hasArray(body, internal::loadKey);
    if (!isMessage) {
        return std::nullopt;
    }
    FleetMessage message;
    message.sender_ = body[internal::senderKey].get<std::string>();
    message.report_.ledger_.current_ = body[internal::ledgerCurrentKey].get<bool>();
    message.report_.ledger_.complete_ = body[internal::ledgerCompleteKey].get<bool>();
    internal::decodeLoad(body[internal::loadKey], message.report_);
    if (internal::hasArray(body, internal::partsKey)) {
        internal::decodeParts(body[internal::partsKey], message.report_);
    }
    if (internal::hasArray(body, internal::pacesKey)) {
        internal::decodePaces(body[internal::pacesKey], message.report_);
    }
    if (internal::hasArray(body, internal::crashesKey)) {
        internal::decodeCrashes(body[internal::crashesKey], message.report_);
    }
    if (internal::hasArray(body, internal::limitsKey)) {
        internal::decodeLimits(body[internal::limitsKey], message.report_);
    }
    if (internal::hasArray(body, internal::outcomesKey)) {
        internal::decodeOutcomes(body[internal::outcomesKey], message.report_);
    }
    if (internal::hasArray(body, internal::ejectionsKey)) {
        internal::decodeEjections(body[internal::ejectionsKey], message.report_);
    }
    message.report_.mayMissGrants_ = body.value(internal::missesGrantsKey, nlohmann::json()) == true;
    if (body.contains(internal::originsKey)) {
        message.report_.origins_ = decodeOrigins(body[internal::originsKey]);
    }
    if (body.contains(internal::configurationKey) && body[internal::configurationKey].is_number_unsigned()) {
        message.report_.configurationVersion_ = body[internal::configurationKey].get<std::uint64_t>();
    }
    if (body.contains(internal::groupKey)) {
        message.group_ = internal::decodeGroup(body[internal::groupKey]);
        if (!message.group_) {
            return std::nullopt; // Otherwise the load of a group would count as that of the sender.
        }
        message.report_.nodes_ = body[internal::groupKey][3].get<std::size_t>();
    }
    if (internal::hasArray(body, internal::accountsKey)) {
        message.report_.accounts_ = internal::decodeAccounts(body[internal::accountsKey]);
    }
    if (internal::hasArray(body, internal::membersKey)) {
        message.members_ = internal::decodeMembers(body[internal::membersKey]);
    }
    if (internal::hasArray(body, internal::cutOffKey)) {
        internal::applyCutOff(body[internal::cutOffKey], message);
    }
    if (internal::hasString(body, internal::datagramAddressKey)
        && internal::hasString(body, internal::linkAddressKey)) {
        message.introduction_ = FleetMember{message.sender_,
                                            body[internal::datagramAddressKey].get<std::string>(),
                                            body[internal::linkAddressKey].get<std::string>(),
                                            body.value(internal::domainKey, std::string())};
    }
    return message;
}

} // namespace filbertgw
