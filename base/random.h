// Seeded random numbers, identical on every machine for the same seed. They use the engine and the
// distributions of Boost.Random, since the standard library's distributions differ between
// implementations.
#pragma once

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cstddef>
#include <cstdint>

namespace jaynotch {

/// A stream of random numbers. Decision cores receive one and use no other source.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_engine{seed} {}

    /// 64 random bits.
    std::uint64_t bits() { return m_engine(); }
    /// Uniform in [0, count); count must be at least 1.
    std::size_t index(std::size_t count)
    {
        return boost::random::uniform_int_distribution<std::size_t>{0, count - 1}(m_engine);
    }
    /// Uniform in [low, high].
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return boost::random::uniform_int_distribution<std::int64_t>{low, high}(m_engine);
    }
    /// Uniform in [0, 1).
    double unit() { return boost::random::uniform_real_distribution<double>{0.0, 1.0}(m_engine); }
    /// True with the given probability.
    bool chance(double probability) { return unit() < probability; }
    /// Exponential with the given mean.
    double exponential(double mean)
    {
        return boost::random::exponential_distribution<double>{1.0 / mean}(m_engine);
    }
    /// Normal with the given mean and standard deviation.
    double normal(double mean, double deviation)
    {
        return boost::random::normal_distribution<double>{mean, deviation}(m_engine);
    }

private:
    boost::random::mt19937_64 m_engine;
};

} // namespace jaynotch
