#ifndef FILBERTGW_NET_ORDERSIGNATURE_H
#define FILBERTGW_NET_ORDERSIGNATURE_H

#include "core/time.h"

#include <string>
#include <vector>

namespace filbertgw {

/** Header that carries the signature of an order to an endpoint that checks who gives orders. */
inline constexpr const char *orderSignatureHeader = "x-order-signature";

/** How far the clocks of a node and an endpoint may be apart, and how long a copied order could be repeated. */
inline constexpr Duration orderClockTolerance{30'000'000};

/** \brief Signs an order. \return the header's value, `t=UNIX_MS,mac=HEX`: HMAC-SHA256 over time, target and body. */
std::string signOrder(const std::string &key, Time now, const std::string &target, const std::string &body);

/** \brief True if the value was made for this target and body with one of the keys, within the clock tolerance. */
bool isOrderSigned(const std::vector<std::string> &keys,
                   const std::string &value,
                   Time now,
                   const std::string &target,
                   const std::string &body);

} // namespace filbertgw

#endif
