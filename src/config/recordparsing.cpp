#include "config/recordparsing.h"

#include "config/configrecord.h"

#include <algorithm>
#include <limits>

namespace filbertgw::internal {

namespace {

constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();

std::int64_t amountOr(const nlohmann::json &body, const char *field, std::int64_t fallback)
{
    return integerOr(body, field, fallback, 0, maxInteger);
}

std::vector<std::string> namesOf(const nlohmann::json &body, const char *field)
{
    return body.value(field, std::vector<std::string>());
}

} // namespace

EndpointInfo endpointOf(const nlohmann::json &record)
{
    const nlohmann::json &body = record.at("body");
    const EndpointInfo defaults;
    EndpointInfo endpoint;
    endpoint.id_ = EndpointId(record.at("name").get<std::string>());
    endpoint.kind_ = *valueOf<CallKind>(body.at("kind").get_ref<const std::string &>());
    endpoint.domain_ = FailureDomain(body.at("domain").get<std::string>());
    endpoint.address_ = body.at("address").get<std::string>();
    endpoint.refusesOldFencing_ = body.value("refuses_old_fencing", false);
    endpoint.checksOrders_ = body.value("checks_orders", false);
    endpoint.cacheTokens_ = amountOr(body, "cache_tokens", defaults.cacheTokens_);
    endpoint.maxStreams_ = static_cast<std::int32_t>(amountOr(body, "max_streams", defaults.maxStreams_));
    if (endpoint.kind_ == CallKind::Model) {
        for (const std::string &name : namesOf(body, "models")) {
            endpoint.models_.emplace_back(name);
        }
        return endpoint;
    }
    for (const std::pair<const std::string, OperationConfig> &operation : operationsOf(record)) {
        endpoint.models_.emplace_back(operation.first);
    }
    return endpoint;
}

std::map<std::string, OperationConfig> operationsOf(const nlohmann::json &record)
{
    std::map<std::string, OperationConfig> result;
    const nlohmann::json &body = record.at("body");
    const auto operations = body.find("operations");
    if (operations == body.end() || body.at("kind") == nameOf(CallKind::Model)) {
        return result;
    }
    if (operations->is_object()) {
        for (auto item = operations->begin(); item != operations->end(); ++item) {
            result[item.key()] = OperationConfig{item->value("idempotent", false), amountOr(*item, "price_micros", 0)};
        }
        return result;
    }
    const std::vector<std::string> nonIdempotent = namesOf(body, "non_idempotent");
    for (const std::string &name : namesOf(body, "operations")) {
        const bool listed = std::find(nonIdempotent.begin(), nonIdempotent.end(), name) != nonIdempotent.end();
        result[name].idempotent_ = !listed;
    }
    return result;
}

ModelConfig modelOf(const nlohmann::json &record)
{
    const nlohmann::json &body = record.at("body");
    ModelConfig model;
    model.id_ = ModelId(record.at("name").get<std::string>());
    model.defaultMaxTokens_ = amountOr(body, "default_max_tokens", model.defaultMaxTokens_);
    model.priceMicrosPerToken_ = amountOr(body, "price_micros_per_token", model.priceMicrosPerToken_);
    return model;
}

AccountConfig accountOf(const nlohmann::json &record)
{
    const nlohmann::json &body = record.at("body");
    AccountConfig account;
    account.id_ = AccountId(record.at("name").get<std::string>());
    account.saltedKeyHashes_ = namesOf(body, "keys");
    account.requestsPerSecond_ = body.value("requests_per_second", 0.0);
    account.concurrentCalls_ = amountOr(body, "concurrent_calls", 0);
    account.openPrograms_ = amountOr(body, "open_programs", 0);
    return account;
}

TemplateConfig templateOf(const nlohmann::json &record)
{
    const nlohmann::json &body = record.at("body");
    const nlohmann::json &budget = body.at("budget");
    TemplateConfig result;
    result.name_ = record.at("name").get<std::string>();
    result.budget_.tokens_ = amountOr(budget, "tokens", 0);
    result.budget_.calls_ = amountOr(budget, "calls", 0);
    result.budget_.moneyMicros_ = amountOr(budget, "money_micros", 0);
    result.maxTurns_ = static_cast<std::uint32_t>(amountOr(body, "max_turns", result.maxTurns_));
    result.deadline_ = std::chrono::milliseconds(amountOr(body, "deadline_ms", 0));
    return result;
}

WeightsConfig weightsOf(const nlohmann::json &record)
{
    const nlohmann::json &body = record.at("body");
    return WeightsConfig{body.at("latency").get<double>(), body.at("wasted_cache").get<double>()};
}

} // namespace filbertgw::internal
