//! Stand-in for the rating service: returns the quality that the engine's
//! stand-in embedded in its response, with random noise.

use std::sync::Mutex;

use argh::FromArgs;
use async_trait::async_trait;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use trillium::{Conn, Handler};

use crate::{engine::hidden_number, web};

/// Run the rating service.
#[derive(FromArgs)]
#[argh(subcommand, name = "rating")]
pub struct Rating {
    /// port; 0 lets the kernel choose
    #[argh(option, default = "0")]
    port: u16,
    /// greatest error of a rating
    #[argh(option, default = "0.05")]
    noise: f64,
    /// seed of the errors
    #[argh(option, default = "1")]
    seed: u64,
}

struct Service {
    noise: f64,
    rng: Mutex<ChaCha8Rng>,
}

impl Rating {
    /// Serves until the process ends.
    pub fn run(self) {
        let rng = Mutex::new(ChaCha8Rng::seed_from_u64(self.seed));
        web::run(self.port, Service { noise: self.noise, rng });
    }
}

#[async_trait]
impl Handler for Service {
    async fn run(&self, mut conn: Conn) -> Conn {
        let Some(request) = web::read_json::<Value>(&mut conn).await else {
            return conn.with_status(400).halt();
        };
        let answer = request["answer"].as_str().unwrap_or_default();
        let quality = hidden_number(answer, "quality=").unwrap_or(0.0);
        let error = {
            let mut rng = self.rng.lock().unwrap();
            rng.random_range(-1.0..=1.0) * self.noise
        };
        let score = (quality + error).clamp(0.0, 1.0);
        web::json(conn, 200, &json!({ "score": score }))
    }
}
