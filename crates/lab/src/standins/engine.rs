//! Stand-in of a model engine: OpenAI-compatible, with deterministic tokens.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use jj_utils::{
    clock::unix_millis,
    collections::FastMap,
    ids::{ModelId, RequestId},
};
use poem::{Endpoint, EndpointExt, Route, delete, get, post};
use tokio_util::sync::CancellationToken;

use crate::{
    http::serve_app,
    standins::{
        cold_start::{ColdConfig, ColdStart},
        engine_api, engine_control,
        faults::{ControlRequest, Faults},
        kv_memory::KvMemory,
        ledger::{Executions, Ledger},
        orders::Orders,
        prefix_cache::{CacheConfig, PrefixCache},
        slots::Slots,
    },
};

/// Settings of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Models served from the start.
    pub models: Vec<ModelId>,
    /// Maximum requests in the batch.
    pub capacity: u32,
    /// Duration of each token; zero sends tokens as fast as the connection accepts them.
    pub token_delay: Duration,
    /// Time before the first token when the prefix is not cached.
    pub prefill_delay: Duration,
    /// Duration of each step; with zero no steps run.
    pub step_time: Duration,
    /// Whether orders with a lower fencing number than the highest known are refused.
    pub fencing: bool,
    /// Behaviour while cold.
    pub cold: ColdConfig,
    /// Capacity of the KV cache, in tokens; `None` is unlimited.
    pub memory: Option<u32>,
    /// The prefix cache.
    pub cache: CacheConfig,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            models: vec!["stand-in".to_owned()],
            capacity: 256,
            token_delay: Duration::ZERO,
            prefill_delay: Duration::ZERO,
            step_time: Duration::from_millis(10),
            fencing: true,
            cold: ColdConfig::default(),
            memory: None,
            cache: CacheConfig::default(),
        }
    }
}

/// The state of one engine.
#[derive(Debug)]
pub struct Engine {
    /// Its settings.
    pub config: EngineConfig,
    /// Cold phase and running requests.
    pub cold: Arc<ColdStart>,
    /// KV cache of prompts and responses.
    pub memory: Arc<KvMemory>,
    /// Slots of the batch.
    pub slots: Arc<Slots>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// State that orders change.
    pub orders: Orders,
    /// Counts of executions.
    pub ledger: Ledger,
    /// Pending faults.
    pub faults: Faults,
    boot: AtomicU64,
    started: Mutex<Instant>,
    running: Mutex<FastMap<RequestId, CancellationToken>>,
}

impl Engine {
    /// Creates an engine whose uptime starts now.
    pub fn new(config: EngineConfig) -> Arc<Self> {
        Arc::new(Self {
            cold: ColdStart::new(config.cold.clone()),
            memory: KvMemory::new(config.memory),
            slots: Slots::new(config.capacity),
            cache: PrefixCache::new(config.cache.clone()),
            orders: Orders::new(config.fencing, config.models.clone()),
            ledger: Ledger::default(),
            faults: Faults::new(config.token_delay),
            boot: AtomicU64::new(unix_millis()),
            started: Mutex::new(Instant::now()),
            running: Mutex::default(),
            config,
        })
    }

    /// Returns the boot id; it changes with each start.
    pub fn boot_id(&self) -> u64 {
        self.boot.load(Ordering::Relaxed)
    }

    /// Returns the time since the last start.
    pub fn uptime(&self) -> Duration {
        lock(&self.started).elapsed()
    }

    /// Returns all counts, including those of the cold phases and the caches.
    pub fn executions(&self) -> Executions {
        let counts = self.cold.counts();
        let memory = self.memory.counts();
        Executions {
            cold_peak: counts.peak,
            falls: counts.falls,
            token_peak: memory.peak,
            evicted: memory.evicted,
            cache_hits: self.cache.hits(),
            ..self.ledger.snapshot()
        }
    }

    /// Applies a control request of a test.
    pub fn control(&self, request: &ControlRequest) {
        self.faults.update(request);
        if request.new_boot {
            self.boot.fetch_add(1, Ordering::Relaxed);
            *lock(&self.started) = Instant::now();
            self.cache.clear();
        }
        if let Some(time) = request.cold_ms {
            self.cold.turn_cold(Duration::from_millis(time));
        }
    }

    /// Registers a running request; returns the token that cancels it.
    pub fn register(&self, request: RequestId) -> CancellationToken {
        let token = CancellationToken::new();
        lock(&self.running).insert(request, token.clone());
        token
    }

    /// Removes a request that has ended.
    pub fn forget(&self, request: &RequestId) {
        lock(&self.running).remove(request);
    }

    /// Cancels a running request; returns false if it is unknown.
    pub fn cancel(&self, request: &RequestId) -> bool {
        let token = lock(&self.running).remove(request);
        token.map(|token| token.cancel()).is_some()
    }
}

/// Serves a stand-in engine on `addr` until `cancel`.
///
/// # Errors
/// When the address cannot be served.
pub async fn serve(
    config: EngineConfig,
    addr: SocketAddr,
    cancel: CancellationToken,
) -> anyhow::Result<()> {
    let engine = Engine::new(config);
    let steps = tokio::spawn(run_steps(Arc::clone(&engine), cancel.clone()));
    let served = serve_app(app(engine), addr, cancel).await;
    steps.abort();
    served
}

fn app(engine: Arc<Engine>) -> impl Endpoint + 'static {
    Route::new()
        .at("/v1/chat/completions", post(engine_api::complete))
        .at("/v1/completions", post(engine_api::complete))
        .at("/v1/models", get(engine_api::models))
        .at("/v1/requests/:id", delete(engine_control::cancel))
        .at("/health", get(engine_control::health))
        .at("/load", get(engine_control::read_load))
        .at("/cache-events", get(engine_control::cache_events))
        .at("/orders", post(engine_control::obey))
        .at("/state", get(engine_control::read_state))
        .at("/executions", get(engine_control::executions))
        .at("/control", post(engine_control::control))
        .data(engine)
}

async fn run_steps(engine: Arc<Engine>, cancel: CancellationToken) {
    let step = engine.config.step_time;
    if step.is_zero() {
        return;
    }
    let mut ticks = tokio::time::interval(step);
    while cancel.run_until_cancelled(ticks.tick()).await.is_some() {
        engine.orders.advance();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
