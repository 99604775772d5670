#ifndef FILBERTGW_STORE_STOREUSAGE_H
#define FILBERTGW_STORE_STOREUSAGE_H

#include "store/recordstore.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief A call to the record store that has ended. */
struct StoreCall
{
    std::string kind_; ///< append, read or newest.
    std::string stream_;
    StoreStatus status_ = StoreStatus::Unknown;
    int answerCode_ = 0; ///< Of the transport; 0 if there was no answer.
    std::size_t bytes_ = 0; ///< Of the request's and the answer's bodies.
    Duration time_{0};
    Duration wait_{0}; ///< For how long the store was asked to hold the call back.
};

/**
 * \brief Sums up the calls to the record store, by their kind and the family of their stream.
 *
 * Streams of one family differ by a number at their end.
 */
class StoreUsage
{
public:
    static std::string familyOf(const std::string &stream);

    void add(const StoreCall &call);
    /** \brief One set of log fields for each kind and family since the last call of this function. */
    std::vector<nlohmann::json> take();

private:
    struct Sums
    {
        std::uint64_t calls_ = 0;
        std::uint64_t failed_ = 0;
        std::uint64_t bytes_ = 0;
        Duration longest_{0}; ///< Beyond the time that the store was asked to hold a call back.
    };

    std::map<std::pair<std::string, std::string>, Sums> sums_; ///< By kind and family.
};

} // namespace filbertgw

#endif
