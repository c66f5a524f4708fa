#include "benchmarks.h"

namespace savory::bench {

void
BenchCascade(Results& /*aResults*/)
{
}

} // namespace savory::bench
