#ifndef FILBERTGW_CLI_PUBLISHER_H
#define FILBERTGW_CLI_PUBLISHER_H

#include "cli/syncclient.h"
#include "config/configsection.h"
#include "core/settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace filbertgw {

/** \brief Publishes configuration records for `filbertgw publish`. */
class Publisher
{
public:
    explicit Publisher(const Settings &settings);

    /** \brief Publishes records, prints what became of each. \return the exit status. */
    int publish(std::vector<nlohmann::json> records);

private:
    bool fold(Offset upTo, ConfigSection &section);
    bool appendOnce(const std::vector<nlohmann::json> &records, Offset &first);
    Offset findRecord(const std::string &id);
    bool fillIn(std::vector<nlohmann::json> &records);
    int report(const std::vector<nlohmann::json> &records, Offset first);
    int waitForNodes(Offset offset);

    const Settings &settings_;
    SyncClient client_;
};

/** \brief Reads records from a file: one JSON object, an array of them, or one object a line. */
bool readRecords(const std::string &path, std::vector<nlohmann::json> &records, std::string &error);

} // namespace filbertgw

#endif
