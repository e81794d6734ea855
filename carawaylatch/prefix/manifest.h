// Whether exported KV blocks may be imported, and whether an import saves time.
//
// A manifest describes exported blocks. They may be imported only into the same
// namespace and weights version, and only if the exporting incarnation still runs or
// the manifest is sealed, which means that the export completed before that
// incarnation could end. If an import is refused or fails, the prompt is computed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::prefix
{

enum class Sealing {
    Open,
    Sealed,
};

struct Manifest
{
    base::CacheSalt salt;
    base::ModelId model;
    base::WeightsVersion weightsVersion;
    std::string adapter;
    base::UpstreamId exporter;
    base::Incarnation incarnation; // of the exporter
    Sealing sealing = Sealing::Open;
    std::vector<std::uint64_t> blocks; // leading blocks of a chain, in order
};

// The namespace of the request that wants to import.
struct ImportTarget
{
    base::CacheSalt salt;
    base::ModelId model;
    base::WeightsVersion weightsVersion;
    std::string adapter;
    base::Incarnation liveExporterIncarnation; // the exporter's incarnation while it runs, otherwise zero
    std::vector<std::uint64_t> chain;
};

// Returns how many leading blocks of the chain may be imported, or StaleState.
[[nodiscard]] base::Result<std::uint32_t> checkImport(const Manifest &manifest, const ImportTarget &target);

struct ImportCost
{
    double bytesPerSecond = 1e9; // from the KV store to the upstream
    std::uint64_t bytesPerBlock = 8'000'000;
    base::Duration roundTrip = base::milliseconds{5};
};

// Returns the time that an import saves, less its transfer time; zero if it saves nothing.
[[nodiscard]] base::Duration importSaving(std::uint32_t blocks, std::uint32_t tokensPerBlock, double prefillTokensPerSecond, const ImportCost &cost);

} // namespace carawaylatch::prefix
