#ifndef FILBERTGW_CONFIG_CONFIGSECTION_H
#define FILBERTGW_CONFIG_CONFIGSECTION_H

#include "core/ids.h"
#include "policy/schedulertypes.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief Keys and limits of a client account; a limit of 0 means none. */
struct AccountConfig
{
    AccountId id_;
    std::vector<std::string> saltedKeyHashes_; ///< "salt$sha256(salt + key)", both in hexadecimal.
    double requestsPerSecond_ = 0;
    std::int64_t concurrentCalls_ = 0;
    std::int64_t openPrograms_ = 0;
};

/** \brief A model's price and defaults. */
struct ModelConfig
{
    ModelId id_;
    std::int64_t defaultMaxTokens_ = 1024;
    std::int64_t priceMicrosPerToken_ = 0;
};

/** \brief Default budget and limits of new programs. */
struct TemplateConfig
{
    std::string name_;
    Spend budget_;
    std::uint32_t maxTurns_ = 200;
    Duration deadline_{0}; ///< 0 for none.
};

/** \brief Properties of an operation of a tool or plain service. */
struct OperationConfig
{
    bool idempotent_ = false;
    std::int64_t priceMicros_ = 0;
};

/** \brief Relative weights of program latency and wasted cache. */
struct WeightsConfig
{
    double latency_ = 1.0;
    double wastedCache_ = 1.0;
};

/** \brief A record that did not come into force, with the reason. */
struct RejectedRecord
{
    Offset offset_ = 0;
    std::string kind_;
    std::string name_;
    std::string reason_; ///< invalid, superseded, unknown_schema, unknown_kind
    std::string detail_;
};

/** \brief Blackboard section with the configuration in force; written by ConfigController. */
struct ConfigSection
{
    Offset offset_ = 0; ///< Offset of the last folded entry of the stream.
    std::map<std::pair<std::string, std::string>, Offset> inForce_; ///< Offset in force, by kind and name.
    std::map<std::pair<std::string, std::string>, nlohmann::json>
        records_; ///< Whole records, without accounts; see ConfigController::record().
    std::map<EndpointId, EndpointInfo> endpoints_; ///< Draining ones have leaving_ set.
    std::map<std::string, OperationConfig> operations_; ///< By name of the operation.
    std::map<ModelId, ModelConfig> models_;
    std::map<AccountId, AccountConfig> accounts_;
    std::map<std::string, TemplateConfig> templates_;
    WeightsConfig weights_;
    std::vector<RejectedRecord> rejected_; ///< Newest last, bounded.
};

} // namespace filbertgw

#endif
