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

/** \brief A completed call to the record store. */
struct StoreCall
{
    std::string kind_; ///< "append", "read" or "newest".
    std::string stream_;
    StoreStatus status_ = StoreStatus::Unknown;
    int answerCode_ = 0; ///< Status code of the transport; 0 without a response.
    std::size_t bytes_ = 0; ///< Size of the request and response bodies.
    Duration time_{0};
    Duration wait_{0}; ///< Long-poll time that the store was allowed to hold the call.
};

/**
 * \brief Totals of the calls to the record store, by kind of call and family of the stream.
 *
 * The names of the streams of one family differ only in the number at their end.
 */
class StoreUsage
{
public:
    /** \brief Name of a stream without the number at its end. */
    static std::string familyOf(const std::string &stream);

    void add(const StoreCall &call);
    /** \brief Returns a set of log fields for each kind and family and resets the totals. */
    std::vector<nlohmann::json> take();

private:
    struct Sums
    {
        std::uint64_t calls_ = 0;
        std::uint64_t failed_ = 0;
        std::uint64_t bytes_ = 0;
        Duration longest_{0}; ///< Longest call, without its long-poll time.
    };

    std::map<std::pair<std::string, std::string>, Sums> sums_; ///< By kind and family.
};

} // namespace filbertgw

#endif
