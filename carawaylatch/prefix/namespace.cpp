// Salts of cache namespaces.
//
// The fields are encoded with their lengths before hashing, so that no two
// different namespaces give the same byte string ("ab" + "c" against "a" + "bc").
// What remains is the chance of two equal 64-bit hashes among a fleet's few
// thousand namespaces, and the end-to-end check of the engine's echo.
#include "carawaylatch/prefix/namespace.h"

#include <string>

#include "carawaylatch/base/hash.h"

namespace carawaylatch::prefix
{

namespace
{

void appendNumber(std::string &out, std::uint64_t number)
{
    for (unsigned shift = 0; shift < 64; shift += 8) {
        out.push_back(static_cast<char>(number >> shift));
    }
}

void appendField(std::string &out, std::string_view field)
{
    appendNumber(out, field.size());
    out += field;
}

} // namespace

base::CacheSalt cacheSalt(const base::CustomerId &customer, const base::ModelId &model, base::WeightsVersion weightsVersion, std::string_view adapter)
{
    std::string encoded;
    appendField(encoded, customer.value());
    appendField(encoded, model.value());
    appendNumber(encoded, weightsVersion.value);
    appendField(encoded, adapter);
    const std::uint64_t salt = base::hash64(encoded);
    return base::CacheSalt{salt == 0 ? 1 : salt};
}

} // namespace carawaylatch::prefix
