#include "fleet/relayedstore.h"

namespace filbertgw {

namespace internal {
namespace {

const char *const appendType = "store_append";
const char *const readType = "store_read";
const char *const newestType = "store_newest";
/** Limit on the wait for the relaying node. */
constexpr Duration relayTimeout{800'000};

nlohmann::json encode(const KeyedRecord &record)
{
    nlohmann::json json = {{"key", record.key_}, {"offset", record.offset_}};
    if (record.value_) {
        json["value"] = nlohmann::json::binary({record.value_->begin(), record.value_->end()});
    }
    return json;
}

std::optional<KeyedRecord> decode(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("key") || !json["key"].is_string() || !json.contains("offset")
        || !json["offset"].is_number_unsigned()) {
        return std::nullopt;
    }
    KeyedRecord record{json["key"].get<std::string>(), std::nullopt, json["offset"].get<std::uint64_t>()};
    if (json.contains("value") && json["value"].is_binary()) {
        const nlohmann::json::binary_t &bytes = json["value"].get_binary();
        record.value_ = std::string(bytes.begin(), bytes.end());
    }
    return record;
}

std::vector<KeyedRecord> decodeRecords(const nlohmann::json &body)
{
    std::vector<KeyedRecord> records;
    if (body.contains("records") && body["records"].is_array()) {
        for (const nlohmann::json &item : body["records"]) {
            const std::optional<KeyedRecord> record = decode(item);
            if (record) {
                records.push_back(*record);
            }
        }
    }
    return records;
}

nlohmann::json encodeRecords(const std::vector<KeyedRecord> &records)
{
    nlohmann::json array = nlohmann::json::array();
    for (const KeyedRecord &record : records) {
        array.push_back(encode(record));
    }
    return array;
}

std::optional<PartitionId> decodePartition(const nlohmann::json &body)
{
    const bool isPartition = body.is_object() && body.contains("stream") && body["stream"].is_string()
        && body.contains("partition") && body["partition"].is_number_unsigned();
    if (!isPartition) {
        return std::nullopt;
    }
    return PartitionId{body["stream"].get<std::string>(), body["partition"].get<std::uint32_t>()};
}

nlohmann::json encode(const StorePage &page)
{
    return {{"status", nameOf(page.status_)},
            {"records", encodeRecords(page.records_)},
            {"end", page.end_},
            {"more", page.more_}};
}

StoreStatus decodeStatus(const std::optional<nlohmann::json> &answer)
{
    if (!answer || !answer->is_object() || !answer->contains("status") || !(*answer)["status"].is_string()) {
        return StoreStatus::Unknown;
    }
    return valueOf<StoreStatus>((*answer)["status"].get<std::string>()).value_or(StoreStatus::Unknown);
}

StorePage decodePage(const std::optional<nlohmann::json> &answer)
{
    StorePage page;
    page.status_ = decodeStatus(answer);
    if (page.status_ == StoreStatus::Ok) {
        page.records_ = decodeRecords(*answer);
        page.end_ = answer->contains("end") && (*answer)["end"].is_number_unsigned()
            ? (*answer)["end"].get<std::uint64_t>()
            : 0;
        page.more_ = answer->contains("more") && (*answer)["more"] == true;
    }
    return page;
}

} // namespace
} // namespace internal

RelayedStore::RelayedStore(RecordStore direct, RelayedStoreHooks hooks, std::function<bool()> isReachable, Fleet &fleet)
    : direct_(std::move(direct))
    , hooks_(std::move(hooks))
    , isReachable_(std::move(isReachable))
    , fleet_(fleet)
{
}

RecordStore RelayedStore::access()
{
    RecordStore store = direct_;
    store.append_ = [this](StoreAppend request, std::function<void(const StoreAppendResult &)> done) {
        append(std::move(request), std::move(done));
    };
    store.read_ = [this](const StoreRead &request, std::function<void(const StorePage &)> done) {
        read(request, std::move(done));
    };
    store.newest_ = [this](const StoreNewest &request, std::function<void(const StorePage &)> done) {
        newest(request, std::move(done));
    };
    return store;
}

void RelayedStore::append(StoreAppend request, std::function<void(const StoreAppendResult &)> done)
{
    const std::optional<FleetMember> node =
        isReachable_() || request.sequence_ ? std::nullopt : fleet_.nodeWithCurrentLedger(request.to_.stream_);
    if (!node) {
        direct_.append_(std::move(request), std::move(done));
        return;
    }
    const nlohmann::json body = {{"stream", request.to_.stream_},
                                 {"partition", request.to_.partition_},
                                 {"records", internal::encodeRecords(request.records_)}};
    const auto answered = [done = std::move(done)](const std::optional<nlohmann::json> &answer) {
        done(StoreAppendResult{internal::decodeStatus(answer)});
    };
    hooks_.askPeer_(node->linkAddress_, internal::appendType, body, internal::relayTimeout, answered);
}

void RelayedStore::read(const StoreRead &request, std::function<void(const StorePage &)> done)
{
    const std::optional<FleetMember> node =
        isReachable_() ? std::nullopt : fleet_.nodeWithCurrentLedger(request.from_.stream_);
    if (!node) {
        direct_.read_(request, std::move(done));
        return;
    }
    const nlohmann::json body = {
        {"stream", request.from_.stream_}, {"partition", request.from_.partition_}, {"offset", request.offset_}};
    const auto answered = [done = std::move(done)](const std::optional<nlohmann::json> &answer) {
        done(internal::decodePage(answer));
    };
    hooks_.askPeer_(node->linkAddress_, internal::readType, body, internal::relayTimeout, answered);
}

void RelayedStore::newest(const StoreNewest &request, std::function<void(const StorePage &)> done)
{
    const PartitionId &from = request.from_;
    const std::optional<FleetMember> node = isReachable_() ? std::nullopt : fleet_.nodeWithCurrentLedger(from.stream_);
    if (!node) {
        direct_.newest_(request, std::move(done));
        return;
    }
    const nlohmann::json body = {{"stream", from.stream_}, {"partition", from.partition_}, {"after", request.after_}};
    const auto answered = [done = std::move(done)](const std::optional<nlohmann::json> &answer) {
        done(internal::decodePage(answer));
    };
    hooks_.askPeer_(node->linkAddress_, internal::newestType, body, internal::relayTimeout, answered);
}

bool RelayedStore::onPeerRequest(const std::string &type,
                                 const nlohmann::json &body,
                                 const std::function<void(const nlohmann::json &)> &answer)
{
    if (type == internal::appendType) {
        serveAppend(body, answer);
        return true;
    }
    if (type == internal::readType) {
        serveRead(body, answer);
        return true;
    }
    if (type == internal::newestType) {
        serveNewest(body, answer);
        return true;
    }
    return false;
}

void RelayedStore::serveAppend(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer)
{
    const std::optional<PartitionId> to = internal::decodePartition(body);
    if (!to) {
        answer({});
        return;
    }
    StoreAppend request;
    request.to_ = *to;
    request.records_ = internal::decodeRecords(body);
    direct_.append_(std::move(request), [answer](const StoreAppendResult &result) {
        answer({{"status", nameOf(result.status_)}});
    });
}

/** Serves a read without waiting for new records. */
void RelayedStore::serveRead(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer)
{
    const std::optional<PartitionId> from = internal::decodePartition(body);
    if (!from || !body.contains("offset") || !body["offset"].is_number_unsigned()) {
        answer({});
        return;
    }
    const StoreRead request{*from, body["offset"].get<std::uint64_t>(), Duration{0}};
    direct_.read_(request, [answer](const StorePage &page) { answer(internal::encode(page)); });
}

void RelayedStore::serveNewest(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer)
{
    const std::optional<PartitionId> from = internal::decodePartition(body);
    if (!from || !body.contains("after") || !body["after"].is_string()) {
        answer({});
        return;
    }
    direct_.newest_({*from, body["after"].get<std::string>()},
                    [answer](const StorePage &page) { answer(internal::encode(page)); });
}

} // namespace filbertgw
