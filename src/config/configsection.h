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

/** \brief Limits of a caller's account; 0 means no limit. */
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

/** \brief Default budget and limits that a program is created with. */
struct TemplateConfig
{
    std::string name_;
    Spend budget_;
    std::uint32_t maxTurns_ = 200;
    Duration deadline_{0}; ///< 0 for none.
};

/** \brief A call of a tool or plain service. */
struct OperationConfig
{
    bool idempotent_ = false;
    std::int64_t priceMicros_ = 0;
};

/** \brief Weights between program latency and wasted cache. */
struct WeightsConfig
{
    double latency_ = 1.0;
    double wastedCache_ = 1.0;
};

/** \brief A record that is not in force, with the reason. */
struct RejectedRecord
{
    Offset offset_ = 0;
    std::string kind_;
    std::string name_;
    std::string reason_; ///< invalid, superseded, unknown_schema, unknown_kind
    std::string detail_;
};

/** \brief Blackboard section of the configuration in force; written by ConfigController. */
struct ConfigSection
{
    Offset offset_ = 0; ///< Last offset of the stream that is folded in.
    std::map<std::pair<std::string, std::string>, Offset> inForce_; ///< By kind and name.
    std::map<std::pair<std::string, std::string>, nlohmann::json>
        records_; ///< Whole record; not of accounts, see ConfigController::record().
    std::map<EndpointId, EndpointInfo> endpoints_; ///< Drained ones have leaving_ set.
    std::map<std::string, OperationConfig> operations_; ///< By name of a tool's or service's call.
    std::map<ModelId, ModelConfig> models_;
    std::map<AccountId, AccountConfig> accounts_;
    std::map<std::string, TemplateConfig> templates_;
    WeightsConfig weights_;
    std::vector<RejectedRecord> rejected_; ///< Newest last, bounded.
};

} // namespace filbertgw

#endif
