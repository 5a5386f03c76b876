//! Stand-in for an inference engine: continuous batching with separate prefill and decode rates, a
//! bounded prefix cache, and load reports that lag.

mod model;
mod record;
mod server;

pub use self::model::{EngineModel, EngineRequest, EngineSettings, Token};
pub use self::record::{EngineRecord, Start};
pub use self::server::{ChunkFault, Engine, EngineServer, PromptRequest, expected_answer};
