#include "savory/core/value_delta.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace savory {

namespace {

// A fast level: the dictionary is what makes the result short.
constexpr int kCompressionLevel = 1;

struct FreeContext
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

// The smallest window that covers both values, so that all of the base can be
// referred to.
int
WindowLog(std::size_t aBytes)
{
  ZSTD_bounds bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
  return std::max(static_cast<int>(std::bit_width(aBytes)), bounds.lowerBound);
}

} // namespace

std::optional<std::string>
MakeValueDelta(std::string_view aBase, std::string_view aValue)
{
  if (std::max(aBase.size(), aValue.size()) > kMaxDeltaValueBytes) {
    return std::nullopt;
  }
  std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(
    context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(
    context.get(), ZSTD_c_windowLog, WindowLog(aBase.size() + aValue.size()));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string delta(ZSTD_compressBound(aValue.size()), '\0');
  std::size_t size = ZSTD_compress2(
    context.get(), delta.data(), delta.size(), aValue.data(), aValue.size());
  if (ZSTD_isError(size)) {
    return std::nullopt;
  }
  delta.resize(size);
  return delta;
}

std::optional<std::string>
ApplyValueDelta(std::string_view aBase, std::string_view aDelta)
{
  // The two error results are larger than the limit.
  auto size = ZSTD_getFrameContentSize(aDelta.data(), aDelta.size());
  if (size > kMaxDeltaValueBytes) {
    return std::nullopt;
  }
  std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
  ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string value(size, '\0');
  std::size_t written = ZSTD_decompressDCtx(
    context.get(), value.data(), value.size(), aDelta.data(), aDelta.size());
  if (written != size) {
    return std::nullopt;
  }
  return value;
}

} // namespace savory
