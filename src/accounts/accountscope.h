#ifndef FILBERTGW_ACCOUNTS_ACCOUNTSCOPE_H
#define FILBERTGW_ACCOUNTS_ACCOUNTSCOPE_H

#include <string>

namespace filbertgw {

/**
 * \brief Prefix of all ids of an account's clients, wherever state is looked up by them.
 *
 * A digest of the account's name with a fixed length, so that no id of one account, whatever its client chooses, equals
 * one of another account. Store keys hold at most 255 bytes and ids of clients up to 120, which leaves no room for the
 * name itself.
 *
 * \param account empty for clients without an account, on open routes of a configuration with accounts.
 * \return 16 hexadecimal digits. Two of 21,000 accounts share them with a probability of about 1e-11.
 */
std::string accountScope(const std::string &account);

/**
 * \brief The id under which state of a client's program, session, turn, attempt or stream is stored and looked up.
 *
 * \param scope \sa accountScope(); empty if the configuration has no accounts, then ids are not changed.
 * \return empty if \p id is empty, which means that the request names none.
 */
std::string scopedId(const std::string &scope, const std::string &id);

} // namespace filbertgw

#endif
