#ifndef FILBERTGW_CLI_PUBLISHER_H
#define FILBERTGW_CLI_PUBLISHER_H

#include "cli/syncclient.h"
#include "config/publication.h"
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

    /** \brief Publishes records and prints the outcome of each. \return the exit status. */
    int publish(const std::vector<nlohmann::json> &drafts);

private:
    bool readToEnd();
    bool prepare(const std::vector<nlohmann::json> &drafts);
    bool append();
    bool report();
    int waitForNodes();

    const Settings &settings_;
    SyncClient client_;
    Publication publication_;
    std::vector<nlohmann::json> records_;
    Offset lastOffset_ = 0; ///< Highest offset of the accepted records.
};

/** \brief Reads records from a file: one JSON object, an array of objects, or one object per line. \return false and an
 * error text if it is invalid. */
bool readRecords(const std::string &path, std::vector<nlohmann::json> &records, std::string &error);

/** \brief Generates a random record id. */
RecordId randomRecordId();

/** \brief Prints the errors of a record to standard error. \return true if there are none. */
bool printErrors(const PreparedRecord &prepared);

} // namespace filbertgw

#endif
