#ifndef FILBERTGW_CONFIG_RECORDPARSING_H
#define FILBERTGW_CONFIG_RECORDPARSING_H

#include "config/configsection.h"

namespace filbertgw::internal {

// Each function expects a record that validateRecord() accepts.

EndpointInfo endpointOf(const nlohmann::json &record);
/** \brief Operations of a tool or plain service, in schema 1 or 2; empty for a model engine. */
std::map<std::string, OperationConfig> operationsOf(const nlohmann::json &record);
ModelConfig modelOf(const nlohmann::json &record);
AccountConfig accountOf(const nlohmann::json &record);
TemplateConfig templateOf(const nlohmann::json &record);
WeightsConfig weightsOf(const nlohmann::json &record);

} // namespace filbertgw::internal

#endif
