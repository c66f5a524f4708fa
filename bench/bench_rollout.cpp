#include "benchmarks.h"

namespace savory::bench {

void
BenchRollout(Results& /*aResults*/)
{
}

} // namespace savory::bench
