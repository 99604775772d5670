#include "config/configfold.h"

#include "config/configcontroller.h"
#include "config/recordparsing.h"
#include "membership/slotmap.h"

#include <algorithm>

namespace filbertgw {

namespace internal {

Offset offsetOf(const nlohmann::json &record, const char *field)
{
    const auto value = record.find(field);
    return value == record.end() ? 0 : value->get<Offset>();
}

bool isCopy(const nlohmann::json &record)
{
    return record.count("origin") != 0;
}

/** \brief True for a copy of a record whose schema or kind the copying node doesn't know; it need not be in force. */
bool isRetainedCopy(const nlohmann::json &record)
{
    const auto retained = record.find("retained");
    return isCopy(record) && retained != record.end() && *retained == true;
}

std::string joinDetails(const std::vector<Failure> &failures)
{
    std::string joined;
    for (const Failure &failure : failures) {
        joined += (joined.empty() ? "" : "; ") + failure.detail_;
    }
    constexpr std::size_t maxDetailBytes = 512;
    return joined.substr(0, maxDetailBytes);
}

std::string textOr(const nlohmann::json &record, const char *field)
{
    constexpr std::size_t maxShownBytes = 128;
    if (!record.is_object() || record.count(field) == 0 || !record[field].is_string()) {
        return "";
    }
    return record[field].get<std::string>().substr(0, maxShownBytes);
}

} // namespace internal

PackedEntry packEntry(const LogEntry &entry)
{
    return PackedEntry{entry.offset_, entry.time_, internal::pack(entry.body_)};
}

LogEntry unpackEntry(const PackedEntry &entry)
{
    return LogEntry{entry.offset_, entry.time_, internal::unpack(entry.packed_)};
}

ConfigFold::ConfigFold(ConfigSection &section)
    : section_(section)
{
}

ConfigFold::Version *ConfigFold::find(const RecordKey &key)
{
    const auto current = section_.inForce_.find(key);
    return current == section_.inForce_.end() ? nullptr : &versions_.at(&current->first);
}

const ConfigFold::Version *ConfigFold::find(const RecordKey &key) const
{
    return const_cast<ConfigFold *>(this)->find(key);
}

nlohmann::json ConfigFold::unpackVersion(const RecordKey &key, const Version &version)
{
    nlohmann::json record = internal::unpack(version.packed_);
    record["kind"] = key.first;
    record["name"] = key.second;
    return record;
}

FoldResult ConfigFold::fold(const LogEntry &entry)
{
    if (entry.offset_ <= section_.offset_) {
        return FoldResult::Stale;
    }
    section_.offset_ = entry.offset_;
    const FoldResult result = evaluate(entry);
    rememberEntry(entry);
    return result;
}

FoldResult ConfigFold::evaluate(const LogEntry &entry)
{
    const std::vector<Failure> header = validateHeader(entry.body_);
    if (!header.empty()) {
        return reject(entry, FoldResult::Invalid, internal::joinDetails(header));
    }
    if (internal::isCopy(entry.body_)) {
        return evaluateCopy(entry);
    }
    const RecordKey key = keyOf(entry.body_);
    const std::uint64_t idHash = rendezvousHash(entry.body_.at("id").get_ref<const std::string &>());
    const bool isKnown = isKnownId(idHash, key, entry.time_);
    rememberId(idHash, entry.time_);
    if (isKnown) {
        return FoldResult::Duplicate;
    }
    if (!isKnownSchema(entry.body_)) {
        retain(entry);
        return reject(entry, FoldResult::UnknownSchema, "schema " + entry.body_.at("schema").dump());
    }
    if (!isKnownKind(entry.body_)) {
        retain(entry);
        return reject(entry, FoldResult::UnknownKind, "kind " + key.first);
    }
    const std::vector<Failure> failures = validateStored(entry.body_);
    if (!failures.empty()) {
        return reject(entry, FoldResult::Invalid, internal::joinDetails(failures));
    }
    const Version *current = find(key);
    const Offset inForce = current == nullptr ? 0 : current->offset_;
    const Offset replaces = internal::offsetOf(entry.body_, "replaces");
    if (replaces != inForce) {
        return reject(entry,
                      FoldResult::Superseded,
                      "replaces " + std::to_string(replaces) + ", in force is " + std::to_string(inForce));
    }
    // The first record of a key depends on no other. A later one depends on the same entries as the one it replaces.
    install(key, entry.offset_, current == nullptr ? entry.time_ : current->replayFromTime_, entry.body_);
    return FoldResult::Accepted;
}

FoldResult ConfigFold::evaluateCopy(const LogEntry &entry)
{
    // A fold of the whole stream needs no copies; a copy only shows that the record needs no further one for now.
    const Offset origin = internal::offsetOf(entry.body_, "origin");
    if (internal::isRetainedCopy(entry.body_)) {
        const auto kept = retained_.find(origin);
        if (kept != retained_.end()) {
            kept->second.replayFromTime_ = std::max(kept->second.replayFromTime_, entry.time_);
        }
        return FoldResult::Copy;
    }
    Version *current = find(keyOf(entry.body_));
    if (current != nullptr && current->offset_ == origin) {
        current->replayFromTime_ = std::max(current->replayFromTime_, entry.time_);
        return FoldResult::Copy;
    }
    if (current == nullptr || origin > current->offset_) {
        return reject(entry, FoldResult::Invalid, "origin " + std::to_string(origin) + " is no accepted record");
    }
    return FoldResult::Copy;
}

FoldResult ConfigFold::reject(const LogEntry &entry, FoldResult result, const std::string &detail)
{
    if (section_.rejected_.size() >= maxRejectedRecords) {
        section_.rejected_.erase(section_.rejected_.begin());
    }
    section_.rejected_.push_back(RejectedRecord{entry.offset_,
                                                internal::textOr(entry.body_, "kind"),
                                                internal::textOr(entry.body_, "name"),
                                                std::string(nameOf(result)),
                                                detail});
    return result;
}

void ConfigFold::retain(const LogEntry &entry)
{
    if (retained_.size() >= maxRetainedRecords) {
        retained_.erase(retained_.begin());
    }
    retained_[entry.offset_] = Version{entry.offset_, entry.time_, 0, internal::pack(entry.body_)};
}

ConfigFold::NewestCopies ConfigFold::findNewestCopies(const std::vector<PackedEntry> &entries) const
{
    NewestCopies newestCopies;
    for (const PackedEntry &packed : entries) {
        const LogEntry entry = unpackEntry(packed);
        if (!validateStored(entry.body_).empty() || !internal::isCopy(entry.body_)
            || internal::isRetainedCopy(entry.body_)) {
            continue;
        }
        const Offset origin = internal::offsetOf(entry.body_, "origin");
        const Offset asOf = std::max(origin, internal::offsetOf(entry.body_, "as_of"));
        std::pair<Offset, const PackedEntry *> &best = newestCopies[keyOf(entry.body_)];
        if (asOf < entry.offset_ && asOf > section_.offset_ && asOf >= best.first) {
            best = {asOf, &packed};
        }
    }
    return newestCopies;
}

void ConfigFold::foldAfterGap(const std::vector<PackedEntry> &entries)
{
    if (entries.empty()) {
        return;
    }
    const NewestCopies newestCopies = findNewestCopies(entries);
    for (const std::pair<const RecordKey, std::pair<Offset, const PackedEntry *>> &newestCopy : newestCopies) {
        if (newestCopy.second.second != nullptr) {
            const LogEntry copy = unpackEntry(*newestCopy.second.second);
            install(newestCopy.first, internal::offsetOf(copy.body_, "origin"), copy.time_, copy.body_);
        }
    }
    recent_.clear();
    recentBytes_ = 0;
    const Offset covered = section_.offset_;
    section_.offset_ = std::max(covered, entries.back().offset_);
    for (const PackedEntry &packed : entries) {
        LogEntry entry = unpackEntry(packed);
        // A record that an older version retained, because it didn't know the schema, is evaluated at its old offset.
        if (validateHeader(entry.body_).empty() && internal::isRetainedCopy(entry.body_)
            && internal::offsetOf(entry.body_, "origin") < entries.front().offset_) {
            entry.offset_ = internal::offsetOf(entry.body_, "origin");
            entry.time_ = Time(0); // Its id occurred before all remaining entries.
            entry.body_.erase("origin");
            entry.body_.erase("as_of");
            entry.body_.erase("retained");
            foldUnlessCovered(entry, newestCopies);
            const auto kept = retained_.find(entry.offset_);
            if (kept != retained_.end()) {
                kept->second.replayFromTime_ = packed.time_;
            }
        }
    }
    for (const PackedEntry &packed : entries) {
        const LogEntry entry = unpackEntry(packed);
        rememberEntry(entry);
        if (entry.offset_ > covered && !internal::isCopy(entry.body_)) {
            foldUnlessCovered(entry, newestCopies);
        }
    }
}

void ConfigFold::foldUnlessCovered(const LogEntry &entry, const NewestCopies &newestCopies)
{
    if (validateHeader(entry.body_).empty()) {
        const RecordKey key = keyOf(entry.body_);
        const auto newestCopy = newestCopies.find(key);
        const Version *current = find(key);
        const bool isDecided = (newestCopy != newestCopies.end() && newestCopy->second.first >= entry.offset_)
            || (current != nullptr && current->offset_ >= entry.offset_);
        if (isDecided) {
            rememberId(rendezvousHash(entry.body_.at("id").get<std::string>()), entry.time_);
            return;
        }
    }
    evaluate(entry);
}

void ConfigFold::applySnapshot(const std::vector<PackedEntry> &versions, Offset upTo, const nlohmann::json &recentIds)
{
    if (upTo <= section_.offset_) {
        return;
    }
    for (const PackedEntry &packed : versions) {
        const nlohmann::json record = internal::unpack(packed.packed_);
        if (validateStored(record).empty()) {
            install(keyOf(record), packed.offset_, packed.time_, record);
        }
    }
    section_.offset_ = upTo;
    recent_.clear();
    recentBytes_ = 0;
    for (std::size_t i = 0; recentIds.is_array() && i + 1 < recentIds.size(); i += 2) {
        if (recentIds[i].is_number_integer() && recentIds[i + 1].is_number_integer()) {
            rememberId(recentIds[i + 1].get<std::uint64_t>(), Time(recentIds[i].get<std::int64_t>()));
        }
    }
}

void ConfigFold::install(const RecordKey &key, Offset offset, Time replayFromTime, nlohmann::json record)
{
    const auto inForce = section_.inForce_.emplace(key, 0).first;
    Version &version = versions_[&inForce->first];
    if (offset < version.offset_) {
        return;
    }
    version.replayFromTime_ = std::max(version.replayFromTime_, replayFromTime);
    if (offset == version.offset_) {
        return;
    }
    record.erase("origin");
    record.erase("as_of");
    version.offset_ = offset;
    version.idHash_ = rendezvousHash(record.at("id").get_ref<const std::string &>());
    inForce->second = offset;
    if (key.first != nameOf(RecordKind::Account)) {
        section_.records_[key] = record;
    }
    apply(key, isRemoval(record) ? nullptr : &record);
    record.erase("kind");
    record.erase("name");
    version.packed_ = internal::pack(record);
}

namespace internal {

template<typename Id, typename Value>
void assign(std::map<Id, Value> &values,
            const std::string &name,
            const nlohmann::json *record,
            Value (*parse)(const nlohmann::json &))
{
    if (record == nullptr) {
        values.erase(Id(name));
        return;
    }
    values[Id(name)] = parse(*record);
}

} // namespace internal

void ConfigFold::apply(const RecordKey &key, const nlohmann::json *record)
{
    switch (*valueOf<RecordKind>(key.first)) {
    case RecordKind::Endpoint:
    case RecordKind::Drain:
        applyEndpoint(key.second);
        break;
    case RecordKind::Model:
        internal::assign(section_.models_, key.second, record, internal::modelOf);
        break;
    case RecordKind::Account:
        internal::assign(section_.accounts_, key.second, record, internal::accountOf);
        break;
    case RecordKind::Template:
        internal::assign(section_.templates_, key.second, record, internal::templateOf);
        break;
    case RecordKind::Weights:
        section_.weights_ = record == nullptr ? WeightsConfig() : internal::weightsOf(*record);
        break;
    }
}

const nlohmann::json *ConfigFold::findExisting(RecordKind kind, const std::string &name) const
{
    const auto found = section_.records_.find(RecordKey(nameOf(kind), name));
    return found == section_.records_.end() || isRemoval(found->second) ? nullptr : &found->second;
}

void ConfigFold::applyEndpoint(const std::string &name)
{
    internal::assign(section_.endpoints_, name, findExisting(RecordKind::Endpoint, name), internal::endpointOf);
    const auto endpoint = section_.endpoints_.find(EndpointId(name));
    const nlohmann::json *drain = findExisting(RecordKind::Drain, name);
    if (endpoint != section_.endpoints_.end()) {
        endpoint->second.leaving_ = drain != nullptr && drain->at("body").at("draining").get<bool>();
    }
    applyOperations();
}

void ConfigFold::applyOperations()
{
    section_.operations_.clear();
    for (const std::pair<const RecordKey, nlohmann::json> &entry : section_.records_) {
        if (entry.first.first != nameOf(RecordKind::Endpoint) || isRemoval(entry.second)) {
            continue;
        }
        for (const std::pair<const std::string, OperationConfig> &operation : internal::operationsOf(entry.second)) {
            const auto inserted = section_.operations_.insert(operation);
            OperationConfig &merged = inserted.first->second;
            // If endpoints disagree about an operation, use the values that can't run it twice or exceed a budget.
            merged.idempotent_ = merged.idempotent_ && operation.second.idempotent_;
            merged.priceMicros_ = std::max(merged.priceMicros_, operation.second.priceMicros_);
        }
    }
}

bool ConfigFold::isKnownId(std::uint64_t idHash, const RecordKey &key, Time now) const
{
    const Version *current = find(key);
    const auto lastSeen = lastSeenIds_.find(idHash);
    return (lastSeen != lastSeenIds_.end() && now <= lastSeen->second + idWindow)
        || (current != nullptr && current->idHash_ == idHash);
}

void ConfigFold::rememberId(std::uint64_t idHash, Time now)
{
    Time &lastSeen = lastSeenIds_.emplace(idHash, now).first->second;
    lastSeen = std::max(lastSeen, now);
    recentIds_.emplace_back(now, idHash);
    while (recentIds_.front().first + idWindow < now || recentIds_.size() > maxRecentIds) {
        const auto oldest = lastSeenIds_.find(recentIds_.front().second);
        if (oldest != lastSeenIds_.end() && oldest->second == recentIds_.front().first) {
            lastSeenIds_.erase(oldest);
        }
        recentIds_.pop_front();
    }
}

void ConfigFold::rememberEntry(const LogEntry &entry)
{
    recent_.push_back(packEntry(entry));
    recentBytes_ += recent_.back().packed_.size() + sizeof(PackedEntry);
    while (recentBytes_ > maxRecentBytes && recent_.size() > 1) {
        recentBytes_ -= recent_.front().packed_.size() + sizeof(PackedEntry);
        recent_.pop_front();
    }
}

std::vector<LogEntry> ConfigFold::entriesFrom(Offset from, std::size_t limit, std::uint64_t source) const
{
    const bool continues = (from & snapshotContinuation) != 0;
    const Offset first = from & ~snapshotContinuation;
    if (continues || recent_.empty() || recent_.front().offset_ > first) {
        return first > section_.offset_ && !continues ? std::vector<LogEntry>()
                                                      : snapshotFrom(first, limit, !continues, source);
    }
    std::vector<LogEntry> entries;
    for (const PackedEntry &packed : recent_) {
        if (packed.offset_ >= first && entries.size() < limit) {
            entries.push_back(unpackEntry(packed));
        }
    }
    return entries;
}

std::vector<LogEntry> ConfigFold::snapshotFrom(Offset from, std::size_t limit, bool first, std::uint64_t source) const
{
    std::vector<std::pair<Offset, const RecordKey *>> order;
    for (const std::pair<const RecordKey, Offset> &entry : section_.inForce_) {
        if (entry.second >= from) {
            order.emplace_back(entry.second, &entry.first);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<LogEntry> entries;
    const auto add = [&](Offset offset, Time time, nlohmann::json body) {
        const bool isLast = !body.contains("record");
        body[snapshotField] = {{"source", source}, {"first", first && entries.empty()}, {"last", isLast}};
        entries.push_back(LogEntry{offset, time, std::move(body)});
    };
    for (const std::pair<Offset, const RecordKey *> &item : order) {
        if (entries.size() == limit) {
            return entries;
        }
        const Version &version = versions_.at(item.second);
        add(item.first, version.replayFromTime_, {{"record", unpackVersion(*item.second, version)}});
    }
    if (entries.size() < limit) {
        nlohmann::json ids = nlohmann::json::array();
        for (const std::pair<Time, std::uint64_t> &id : recentIds_) {
            ids.push_back(id.first.count());
            ids.push_back(id.second);
        }
        add(section_.offset_, Time(0), {{"ids", ids}});
    }
    return entries;
}

std::optional<nlohmann::json> ConfigFold::record(const RecordKey &key) const
{
    const Version *found = find(key);
    return found == nullptr ? std::nullopt : std::optional<nlohmann::json>(unpackVersion(key, *found));
}

std::vector<nlohmann::json> ConfigFold::dueCopies(Time now, Duration age, std::size_t scan, std::size_t limit)
{
    std::vector<nlohmann::json> copies;
    const auto isDue = [&](const Version &version) {
        return copies.size() < limit && version.replayFromTime_ + age <= now;
    };
    auto next = section_.inForce_.upper_bound(scanCursor_);
    for (std::size_t i = 0; i < scan && next != section_.inForce_.end() && copies.size() < limit; ++i, ++next) {
        const Version &version = versions_.at(&next->first);
        if (isDue(version)) {
            copies.push_back(unpackVersion(next->first, version));
            copies.back()["origin"] = version.offset_;
            copies.back()["as_of"] = section_.offset_;
        }
        scanCursor_ = next->first;
    }
    if (next != section_.inForce_.end()) {
        return copies;
    }
    scanCursor_ = RecordKey();
    for (const std::pair<const Offset, Version> &entry : retained_) {
        if (isDue(entry.second)) {
            copies.push_back(internal::unpack(entry.second.packed_));
            copies.back()["origin"] = entry.first;
            copies.back()["retained"] = true;
        }
    }
    return copies;
}

std::optional<RejectedRecord> ConfigFold::rejectedAt(Offset offset) const
{
    const auto found = std::find_if(section_.rejected_.rbegin(),
                                    section_.rejected_.rend(),
                                    [offset](const RejectedRecord &rejected) { return rejected.offset_ == offset; });
    return found == section_.rejected_.rend() ? std::nullopt : std::optional<RejectedRecord>(*found);
}

} // namespace filbertgw
